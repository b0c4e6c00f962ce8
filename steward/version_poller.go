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

// Periods and limits of requests to the weight store.
const (
	// versionPollPeriod is how often the nodes that are assigned to a model poll the store.
	versionPollPeriod = time.Second
	// fallbackPollPeriod is how often a lease holder polls the store itself, in case the assigned nodes
	// are cut off from it.
	fallbackPollPeriod = 15 * time.Second
	// pollersPerModel is how many nodes are assigned to a model.
	pollersPerModel = 2
	// loadRateTTL is the lifetime of the rumor of the store's load rate.
	loadRateTTL = time.Hour
	// maxHints bounds the models that this node polls because of versions that trainers reported.
	maxHints = 64
	// storeTimeout bounds one request.
	storeTimeout = 2 * time.Second
	// DefaultLoadRate is the load rate, in engines at a time, until the store has reported its own.
	DefaultLoadRate = 1
)

// versionPoller polls the weight store for the newest versions and publishes them as rumors.
type versionPoller struct {
	steward *Steward
	store   trial.WeightStore
	// assigned holds the models that this node polls for all nodes, with their periods. It is computed
	// from inputs.
	assigned map[string]time.Duration
	inputs   inputVersion

	mu              sync.Mutex
	publishedRate   int // last published load rate
	ratePublishedAt time.Time
	polledAt        map[string]time.Time // by model: time of the last poll
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

// hint records that a trainer reported a version. The report is not trusted, it only schedules an early poll of the store.
func (v *versionPoller) hint(model string, version int64) {
	known := v.steward.newestVersions()[model]
	v.mu.Lock()
	defer v.mu.Unlock()
	if version > known && len(v.hinted) < maxHints {
		v.hinted[model] = true
	}
}

// dueModels returns the models that are due to be polled now and marks them as polled.
func (v *versionPoller) dueModels(now time.Time) []string {
	tb, _, ready := v.steward.tables.active()
	if !ready {
		return nil
	}
	if inputs := (inputVersion{tb, v.steward.gossip.version()}); v.inputs != inputs {
		v.inputs, v.assigned = inputs, v.assignedModels(tb)
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

// assignedModels returns the models that this node polls for all nodes, with their periods.
func (v *versionPoller) assignedModels(tb *config.Tables) map[string]time.Duration {
	out, ranked := map[string]time.Duration{}, map[string]bool{}
	live := v.steward.gossip.Alive()
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
	latest, err := v.store.Latest(cctx, model)
	if err != nil {
		v.steward.opts.Metrics.Add("store_errors", 1)
		return
	}
	if latest.Version <= 0 {
		return
	}
	now := time.Now()
	rumors := []wire.Rumor{newVersionRumor(now, model, latest.Version)}
	v.mu.Lock()
	newer := latest.Version > v.latest[model]
	v.latest[model] = max(v.latest[model], latest.Version)
	if v.publishedRate != latest.LoadRate || now.Sub(v.ratePublishedAt) > loadRateTTL/2 {
		v.publishedRate, v.ratePublishedAt = latest.LoadRate, now
		rumors = append(rumors, newLoadRateRumor(now, latest.LoadRate))
	}
	v.mu.Unlock()
	if newer {
		v.steward.opts.Log.Info("weights_published", "model", model, "version", latest.Version, "load_rate", latest.LoadRate)
	}
	v.steward.gossip.addLocalRumors(rumors...)
}

func newLoadRateRumor(now time.Time, rate int) wire.Rumor {
	return wire.Rumor{Kind: rumor.KindLoadRate, Key: "store", Seq: now.UnixMilli(), Expires: now.Add(loadRateTTL).UnixMilli(), Value: encode(rate)}
}

// loadRate returns how many engines the store serves at a time: the highest rate that rumors report, at least
// DefaultLoadRate.
func (v *versionPoller) loadRate() int {
	rate := DefaultLoadRate
	for _, r := range v.steward.gossip.rumorsByKind(rumor.KindLoadRate) {
		var n int
		if json.Unmarshal(r.Value, &n) == nil {
			rate = max(rate, n)
		}
	}
	return rate
}
