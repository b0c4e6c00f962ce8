package steward

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/rumor"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/weights"
	"github.com/ibistrail/ibistrail/wire"
)

// Periods and limits of orders.
const (
	ordersPeriod = 100 * time.Millisecond
	// idleStatusPeriod is the time between two reads of an engine's status; activeStatusPeriod replaces
	// it while engines of the pool do not run the target version.
	idleStatusPeriod   = 5 * time.Second
	activeStatusPeriod = 500 * time.Millisecond
	// statusTimeout bounds one status request.
	statusTimeout = time.Second
	// orderTimeout bounds one order; the engine's status, read afterwards, shows its outcome.
	orderTimeout = 60 * time.Second
	// minEnginesInterval is the minimum time between two rumors of the versions that a pool's engines run.
	minEnginesInterval = 2 * time.Second
	// allAtOnce is the value of policy.waves that orders all engines at the same time.
	allAtOnce = "all-at-once"
)

// orderManager sends weight orders to the engines of each pool and zone whose lease this node holds.
type orderManager struct {
	steward *Steward
	engines *trial.EngineClient
	// loadShares is the share of the store's load rate for each pool and zone, computed from shareTables
	// and shareRate.
	loadShares  map[poolZone]int
	shareTables *config.Tables
	shareRate   int

	mu    sync.Mutex
	pools map[poolZone]*poolOrders
	wg    sync.WaitGroup
}

type poolZone struct{ pool, az string }

// poolOrders plans and sends the orders of one pool in one zone.
type poolOrders struct {
	o   *orderManager
	key poolZone

	mu                  sync.Mutex
	planner             *weights.Planner
	row                 config.Pool
	polledAt            time.Time
	polling             bool
	publishedVersions   string // value of the last rumor of the engines' versions
	versionsPublishedAt time.Time
	// leavingPublishedAt is when the rumors of leaving engines were last renewed.
	leavingPublishedAt time.Time
	leavingEngines     map[string]bool // engines that this node has published as leaving
}

func newOrderManager(steward *Steward, e *trial.EngineClient) *orderManager {
	return &orderManager{steward: steward, engines: e, pools: map[poolZone]*poolOrders{}}
}

func (o *orderManager) run(ctx context.Context) error {
	defer o.wg.Wait()
	return runPeriodically(ctx, ordersPeriod, o.step)
}

// step advances the pools whose leases this node holds and drops the others.
func (o *orderManager) step(ctx context.Context) {
	st, _ := o.steward.stateHub.current()
	if st.Tables == nil {
		return
	}
	if o.shareTables != st.Tables || o.shareRate != o.steward.versionPoller.loadRate() {
		o.shareTables, o.shareRate = st.Tables, o.steward.versionPoller.loadRate()
		o.loadShares = computeLoadShares(o.shareTables, o.shareRate)
	}
	held := map[poolZone]bool{}
	for az, pools := range o.steward.leases.contendedPools() {
		for _, name := range pools {
			p := st.Tables.Pool(name)
			if p == nil {
				continue
			}
			if _, ok := o.steward.leases.mayOrder(az, p); !ok {
				continue
			}
			key := poolZone{name, az}
			held[key] = true
			o.poolFor(key).step(ctx, *p, st.Draining, st.Versions[p.Model], o.loadShares[key])
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := range o.pools {
		if !held[key] {
			delete(o.pools, key)
		}
	}
}

// computeLoadShares divides the store's load rate, per model, among the pools and zones that follow the model, in
// proportion to their engines; each gets at least 1.
func computeLoadShares(tb *config.Tables, rate int) map[poolZone]int {
	engines, total := map[poolZone]int{}, map[string]int{}
	models := map[poolZone]string{}
	for i := range tb.Pools {
		p := &tb.Pools[i]
		if p.Weights == nil || !p.Weights.Follow {
			continue
		}
		for _, t := range p.Targets {
			key := poolZone{p.Name, t.AvailabilityZone}
			engines[key]++
			models[key] = p.Model
			total[p.Model]++
		}
	}
	out := make(map[poolZone]int, len(engines))
	for key, n := range engines {
		out[key] = max(1, rate*n/total[models[key]])
	}
	return out
}

func (o *orderManager) poolFor(key poolZone) *poolOrders {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pools[key]
	if p == nil {
		p = &poolOrders{o: o, key: key, leavingEngines: map[string]bool{}, planner: weights.New(weights.Options{
			AvailabilityZone: key.az, AllAtOnce: o.steward.opts.Settings.Policy.Waves == allAtOnce,
		})}
		o.pools[key] = p
		o.steward.opts.Log.Info("pool_taken_up", "pool", key.pool, "az", key.az)
	}
	return p
}

// followedModels returns the models of the pools that this node orders and that follow the store.
func (o *orderManager) followedModels() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for _, p := range o.pools {
		p.mu.Lock()
		if w := p.row.Weights; w != nil && w.Follow && p.row.Model != "" {
			out = append(out, p.row.Model)
		}
		p.mu.Unlock()
	}
	return out
}

// step starts a status poll if one is due and sends the orders that the planner returns.
func (p *poolOrders) step(ctx context.Context, row config.Pool, draining map[string]string, newest int64, share int) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.row = row
	p.planner.SetPool(row, func(a string) bool {
		_, ok := draining[a]
		return ok && !p.leavingEngines[a] // the planner has the engine's own draining state from its status
	})
	p.planner.SetNewest(newest, share)
	period := idleStatusPeriod
	if p.planner.OutdatedCount() > 0 {
		period = activeStatusPeriod
	}
	if !p.polling && now.Sub(p.polledAt) >= period {
		p.polling, p.polledAt = true, now
		p.o.wg.Go(func() { p.pollStatuses(ctx) })
	}
	for _, order := range p.planner.NextOrders(now) {
		p.o.wg.Go(func() { p.execute(ctx, order) })
	}
}

// pollStatuses reads the status of each engine and publishes the result.
func (p *poolOrders) pollStatuses(ctx context.Context) {
	p.mu.Lock()
	engines := p.planner.Engines()
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, e := range engines {
		wg.Go(func() { p.pollStatus(ctx, e.Address) })
	}
	wg.Wait()
	p.mu.Lock()
	p.polling = false
	p.mu.Unlock()
	p.publishEngineState()
}

func (p *poolOrders) pollStatus(ctx context.Context, address string) {
	cctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	st, err := p.o.engines.Status(cctx, address)
	if err != nil {
		st = nil
	}
	p.mu.Lock()
	p.planner.RecordStatus(time.Now(), address, st)
	p.mu.Unlock()
}

// execute sends one order and records its result.
func (p *poolOrders) execute(ctx context.Context, o weights.EngineOrder) {
	result := p.send(ctx, o)
	if result != weights.ResultNotSent {
		p.pollStatus(ctx, o.Address)
	}
	p.mu.Lock()
	p.planner.RecordResult(time.Now(), o.Address, result)
	p.mu.Unlock()
	p.publishEngineState()
}

func (p *poolOrders) send(ctx context.Context, o weights.EngineOrder) weights.OrderResult {
	s := p.o.steward
	p.mu.Lock()
	row := p.row
	p.mu.Unlock()
	token, ok := s.leases.mayOrder(p.key.az, &row)
	if !ok {
		return weights.ResultNotSent
	}
	o.Order.ID, o.Order.FencingToken = uuid.NewString(), token
	started := time.Now()
	cctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := p.o.engines.Order(cctx, o.Address, o.Order)
	took := time.Since(started)
	s.opts.Metrics.Add("orders", 1)
	s.opts.Metrics.Latency("order_seconds").Observe(took)
	log := s.opts.Log.With("pool", p.key.pool, "az", p.key.az, "engine", o.Address, "kind", o.Order.Kind, "version", o.Order.Version, "mode", o.Order.Mode, "token", token, "took", took)
	if err == nil {
		log.Info("order_done")
		return weights.ResultDone
	}
	s.opts.Metrics.Add("orders_failed", 1)
	log.Warn("order_failed", "err", err)
	var limited *trial.RateLimitedError
	if errors.As(err, &limited) {
		return weights.ResultStoreBusy
	}
	return weights.ResultFailed
}

// publishEngineState publishes rumors of the versions that the engines run, within the zone, and of the engines
// that are leaving, to all zones.
func (p *poolOrders) publishEngineState() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	renewVersions, renewLeaving := now.Sub(p.versionsPublishedAt) > enginesTTL/2, now.Sub(p.leavingPublishedAt) > leavingTTL/2
	if renewLeaving {
		p.leavingPublishedAt = now
	}
	versions := map[string]int64{}
	var rumors []wire.Rumor
	for _, e := range p.planner.Engines() {
		if e.SeenAt.IsZero() {
			continue
		}
		versions[e.Address] = e.Status.Version
		if e.Reached && (e.Status.Draining != p.leavingEngines[e.Address] || (e.Status.Draining && renewLeaving)) {
			p.leavingEngines[e.Address] = e.Status.Draining
			reason := ""
			if e.Status.Draining {
				reason = "engine says draining"
			}
			rumors = append(rumors, newLeavingRumor(now, e.Address, reason))
		}
	}
	if encoded := string(encode(versions)); renewVersions || (p.publishedVersions != encoded && now.Sub(p.versionsPublishedAt) >= minEnginesInterval) {
		p.publishedVersions, p.versionsPublishedAt = encoded, now
		rumors = append(rumors, wire.Rumor{
			Kind: rumor.KindEngines, Key: p.key.pool + "/" + p.key.az, Seq: now.UnixMilli(),
			Expires: now.Add(enginesTTL).UnixMilli(), Value: json.RawMessage(encoded),
		})
	}
	p.o.steward.gossip.addLocalRumors(rumors...)
}

// poolStatus is the status of one pool and zone in the state dump.
type poolStatus struct {
	Pool             string                `json:"pool"`
	AvailabilityZone string                `json:"az"`
	Target           int64                 `json:"target_version"`
	Behind           int                   `json:"behind"`
	Engines          []weights.EngineState `json:"engines"`
}

func (o *orderManager) status() []poolStatus {
	o.mu.Lock()
	pools := slices.Collect(maps.Values(o.pools))
	o.mu.Unlock()
	var out []poolStatus
	for _, p := range pools {
		p.mu.Lock()
		out = append(out, poolStatus{Pool: p.key.pool, AvailabilityZone: p.key.az, Target: p.planner.TargetVersion(), Behind: p.planner.OutdatedCount(), Engines: p.planner.Engines()})
		p.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b poolStatus) int {
		return strings.Compare(a.Pool+"/"+a.AvailabilityZone, b.Pool+"/"+b.AvailabilityZone)
	})
	return out
}
