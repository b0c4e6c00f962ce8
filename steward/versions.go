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
	// versionPoll is how often the nodes in charge of a model ask the store.
	versionPoll = time.Second
	// versionPollOthers is how often a lease holder asks by itself, should those be cut off.
	versionPollOthers = 15 * time.Second
	// versionPollers is how many nodes are in charge of a model.
	versionPollers = 2
	// rateTTL is how long the store's rate is remembered.
	rateTTL = time.Hour
	// maxHints bounds the models that trainers' words make this node ask for.
	maxHints = 64
	// storeTimeout bounds one question.
	storeTimeout = 2 * time.Second
	// DefaultLoadRate holds until the store has told its own.
	DefaultLoadRate = 1
)

// versions asks the weight store for the newest versions and spreads them as rumors.
type versions struct {
	s     *Steward
	store trial.WeightStore
	// charge is what this node asks for on behalf of all, at the tables and members of basis.
	charge map[string]time.Duration
	basis  basis

	mu     sync.Mutex
	told   int // load rate that was spread last
	toldAt time.Time
	asked  map[string]time.Time // by model, when the next question is due
	latest map[string]int64
	hinted map[string]bool
}

func newVersions(s *Steward, store trial.WeightStore) *versions {
	return &versions{s: s, store: store, asked: map[string]time.Time{}, latest: map[string]int64{}, hinted: map[string]bool{}}
}

func (v *versions) run(ctx context.Context) error {
	return every(ctx, versionPoll/4, func(ctx context.Context) {
		for _, model := range v.due(time.Now()) {
			v.ask(ctx, model)
		}
	})
}

// hint tells that a trainer stated a version. Only the store's word counts, so it is asked soon.
func (v *versions) hint(model string, version int64) {
	known := v.s.versions()[model]
	v.mu.Lock()
	defer v.mu.Unlock()
	if version > known && len(v.hinted) < maxHints {
		v.hinted[model] = true
	}
}

// due returns the models that this node should ask for now.
func (v *versions) due(now time.Time) []string {
	tb, _, ready := v.s.tables.inForce()
	if !ready {
		return nil
	}
	if at := (basis{tb, v.s.members.version()}); v.basis != at {
		v.basis, v.charge = at, v.inCharge(tb)
	}
	every := maps.Clone(v.charge)
	if every == nil {
		every = map[string]time.Duration{}
	}
	for _, model := range v.s.orders.models() {
		if every[model] == 0 {
			every[model] = versionPollOthers
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	for model := range v.hinted {
		every[model] = versionPoll
	}
	for _, model := range slices.Sorted(maps.Keys(every)) {
		if now.Sub(v.asked[model]) >= every[model] {
			v.asked[model] = now
			out = append(out, model)
			delete(v.hinted, model)
		}
	}
	return out
}

// inCharge returns the models that this node asks for on behalf of all.
func (v *versions) inCharge(tb *config.Tables) map[string]time.Duration {
	out, ranked := map[string]time.Duration{}, map[string]bool{}
	live := v.s.members.Alive()
	for i := range tb.Pools {
		p := &tb.Pools[i]
		if p.Kind != config.PoolEngines || p.Weights == nil || !p.Weights.Follow || p.Model == "" {
			continue
		}
		if ranked[p.Model] {
			continue
		}
		ranked[p.Model] = true
		if rank := rankOf(slices.Clone(live), v.s.self.ID, p.Model); rank >= 0 && rank < versionPollers {
			out[p.Model] = versionPoll
		}
	}
	return out
}

func (v *versions) ask(ctx context.Context, model string) {
	cctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	w, err := v.store.Latest(cctx, model)
	if err != nil {
		v.s.opts.Metrics.Add("store_errors", 1)
		return
	}
	if w.Version <= 0 {
		return
	}
	now := time.Now()
	news := []wire.Rumor{newVersion(now, model, w.Version)}
	v.mu.Lock()
	moved := w.Version > v.latest[model]
	v.latest[model] = max(v.latest[model], w.Version)
	if v.told != w.LoadRate || now.Sub(v.toldAt) > rateTTL/2 {
		v.told, v.toldAt = w.LoadRate, now
		news = append(news, newLoadRate(now, w.LoadRate))
	}
	v.mu.Unlock()
	if moved {
		v.s.opts.Log.Info("weights_published", "model", model, "version", w.Version, "load_rate", w.LoadRate)
	}
	v.s.members.put(news...)
}

func newLoadRate(now time.Time, rate int) wire.Rumor {
	return wire.Rumor{Kind: rumor.KindLoadRate, Key: "store", Seq: now.UnixMilli(), Expires: now.Add(rateTTL).UnixMilli(), Value: encode(rate)}
}

// loadRate returns how many engines the store serves at a time, as far as known.
func (v *versions) loadRate() int {
	rate := DefaultLoadRate
	for _, r := range v.s.members.kind(rumor.KindLoadRate) {
		var n int
		if json.Unmarshal(r.Value, &n) == nil {
			rate = max(rate, n)
		}
	}
	return rate
}
