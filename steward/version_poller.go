package steward

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/rumor"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

// Times and bounds of questions to the weight store.
const (
	// versionPollPeriod is how often the nodes in charge of a model ask the store.
	versionPollPeriod = time.Second
	// fallbackPollPeriod is how often a lease holder asks by itself, should those be cut off.
	fallbackPollPeriod = 15 * time.Second
	// pollersPerModel is how many nodes are in charge of a model.
	pollersPerModel = 2
	// loadRateTTL is how long the store's rate is remembered.
	loadRateTTL = time.Hour
	// maxHints bounds the models that trainers' words make this node ask for.
	maxHints = 64
	// storeTimeout bounds one question.
	storeTimeout = 2 * time.Second
	// DefaultLoadRate holds until the store has told its own.
	DefaultLoadRate = 1
)

// versionPoller asks the weight store for the newest versions and spreads them as rumors.
type versionPoller struct {
	steward *Steward
	store   trial.WeightStore
	// assigned is what this node asks for on behalf of all, at the tables and members of basis.
	assigned map[string]time.Duration
	inputs   inputVersion

	mu              sync.Mutex
	publishedRate   int // load rate that was spread last
	ratePublishedAt time.Time
	polledAt        map[string]time.Time // by model, when the next question is due
	latest          map[string]int64
	hinted          map[string]bool
}

func newVersionPoller(steward *Steward, store trial.WeightStore) *versionPoller {
	return &versionPoller{steward: steward, store: store, polledAt: map[string]time.Time{}, latest: map[string]int64{}, hinted: map[string]bool{}}
}

func (v *versionPoller) run(ctx context.Context) error {
	return runPeriodically(ctx, versionPollPeriod/4, func(ctx context.Context) {
		for _, model := range v.dueModels(time.Now()) {
			v.poll(ctx, model)
		}
	})
}

// hint tells that a trainer stated a version. Only the store's word counts, so it is asked soon.
func (v *versionPoller) hint(model string, version int64) {
	known := v.steward.newestVersions()[model]
	v.mu.Lock()
	defer v.mu.Unlock()
	if version > known && len(v.hinted) < maxHints {
		v.hinted[model] = true
	}
}

// dueModels returns the models that this node should ask for now.
func (v *versionPoller) dueModels(now time.Time) []string {
	tb, _, ready := v.steward.tables.active()
	if !ready {
		return nil
	}
	if at := (inputVersion{tb, v.steward.members.version()}); v.inputs != at {
		v.inputs, v.assigned = at, v.assignedModels(tb)
	}
	periods := maps.Clone(v.assigned)
	if periods == nil {
		periods = map[string]time.Duration{}
	}
	for _, model := range v.steward.orders.followedModels() {
		if periods[model] == 0 {
			periods[model] = fallbackPollPeriod
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	for model := range v.hinted {
		periods[model] = versionPollPeriod
	}
	for _, model := range slices.Sorted(maps.Keys(periods)) {
		if now.Sub(v.polledAt[model]) >= periods[model] {
			v.polledAt[model] = now
			out = append(out, model)
			delete(v.hinted, model)
		}
	}
	return out
}

// assignedModels returns the models that this node asks for on behalf of all.
func (v *versionPoller) assignedModels(tb *config.Tables) map[string]time.Duration {
	out, ranked := map[string]time.Duration{}, map[string]bool{}
	live := v.steward.members.Alive()
	for i := range tb.Pools {
		p := &tb.Pools[i]
		if p.Kind != config.PoolEngines || p.Weights == nil || !p.Weights.Follow || p.Model == "" {
			continue
		}
		if ranked[p.Model] {
			continue
		}
		ranked[p.Model] = true
		if rank := hashRank(slices.Clone(live), v.steward.self.ID, p.Model); rank >= 0 && rank < pollersPerModel {
			out[p.Model] = versionPollPeriod
		}
	}
	return out
}

func (v *versionPoller) poll(ctx context.Context, model string) {
	cctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	w, err := v.store.Latest(cctx, model)
	if err != nil {
		v.steward.opts.Metrics.Add("store_errors", 1)
		return
	}
	if w.Version <= 0 {
		return
	}
	now := time.Now()
	rumors := []wire.Rumor{newVersionRumor(now, model, w.Version)}
	v.mu.Lock()
	newer := w.Version > v.latest[model]
	v.latest[model] = max(v.latest[model], w.Version)
	if v.publishedRate != w.LoadRate || now.Sub(v.ratePublishedAt) > loadRateTTL/2 {
		v.publishedRate, v.ratePublishedAt = w.LoadRate, now
		rumors = append(rumors, newLoadRateRumor(now, w.LoadRate))
	}
	v.mu.Unlock()
	if newer {
		v.steward.opts.Log.Info("weights_published", "model", model, "version", w.Version, "load_rate", w.LoadRate)
	}
	v.steward.members.addLocalRumors(rumors...)
}

func newLoadRateRumor(now time.Time, rate int) wire.Rumor {
	return wire.Rumor{Kind: rumor.KindLoadRate, Key: "store", Seq: now.UnixMilli(), Expires: now.Add(loadRateTTL).UnixMilli(), Value: encode(rate)}
}

// loadRate returns how many engines the store serves at a time, as far as known.
func (v *versionPoller) loadRate() int {
	rate := DefaultLoadRate
	for _, r := range v.steward.members.rumorsByKind(rumor.KindLoadRate) {
		var n int
		if json.Unmarshal(r.Value, &n) == nil {
			rate = max(rate, n)
		}
	}
	return rate
}
