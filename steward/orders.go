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

// Times and bounds of orders.
const (
	ordersTick = 100 * time.Millisecond
	// statusIdle and statusActive are how often an engine's status is read, the latter while the
	// pool does not run what its row asks for.
	statusIdle   = 5 * time.Second
	statusActive = 500 * time.Millisecond
	// statusTimeout bounds one question.
	statusTimeout = time.Second
	// orderTimeout bounds one order; the status tells afterwards what became of it.
	orderTimeout = 60 * time.Second
	// tellPause is the least time between two rumors of what a pool's engines run.
	tellPause = 2 * time.Second
	// allAtOnce is the policy that orders all engines together.
	allAtOnce = "all-at-once"
)

// orders runs a core for each pool and zone whose lease this node holds.
type orders struct {
	s       *Steward
	engines *trial.EngineClient
	// share is each zone's part of the store's rate, at tables and rate.
	share  map[poolZone]int
	tables *config.Tables
	rate   int

	mu    sync.Mutex
	pools map[poolZone]*poolOrders
	wg    sync.WaitGroup
}

type poolZone struct{ pool, az string }

// poolOrders is the state of one pool in one zone.
type poolOrders struct {
	o   *orders
	key poolZone

	mu      sync.Mutex
	core    *weights.Core
	row     config.Pool
	askedAt time.Time
	asking  bool
	told    string // what was last spread of the engines
	toldAt  time.Time
	// remindedAt is when leaving engines were last told again.
	remindedAt time.Time
	leavings   map[string]bool // engines that this node has told to be leaving
}

func newOrders(s *Steward, e *trial.EngineClient) *orders {
	return &orders{s: s, engines: e, pools: map[poolZone]*poolOrders{}}
}

func (o *orders) run(ctx context.Context) error {
	defer o.wg.Wait()
	return every(ctx, ordersTick, o.step)
}

// step takes up the pools whose lease is held, drops the others, and advances each.
func (o *orders) step(ctx context.Context) {
	st, _ := o.s.hub.get()
	if st.Tables == nil {
		return
	}
	if o.tables != st.Tables || o.rate != o.s.store.loadRate() {
		o.tables, o.rate = st.Tables, o.s.store.loadRate()
		o.share = shares(o.tables, o.rate)
	}
	held := map[poolZone]bool{}
	for az, pools := range o.s.leases.candidate() {
		for _, name := range pools {
			p := st.Tables.Pool(name)
			if p == nil {
				continue
			}
			if _, ok := o.s.leases.may(az, p); !ok {
				continue
			}
			key := poolZone{name, az}
			held[key] = true
			o.get(key).step(ctx, *p, st.Draining, st.Versions[p.Model], o.share[key])
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

// shares divides the store's rate among the zones of the pools that follow the same model.
func shares(tb *config.Tables, rate int) map[poolZone]int {
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

func (o *orders) get(key poolZone) *poolOrders {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pools[key]
	if p == nil {
		p = &poolOrders{o: o, key: key, leavings: map[string]bool{}, core: weights.New(weights.Options{
			AvailabilityZone: key.az, AllAtOnce: o.s.opts.Settings.Policy.Waves == allAtOnce,
		})}
		o.pools[key] = p
		o.s.opts.Log.Info("pool_taken_up", "pool", key.pool, "az", key.az)
	}
	return p
}

// models returns the models of the pools that this node orders.
func (o *orders) models() []string {
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

// step reads statuses when due and gives the orders that the core decides on.
func (p *poolOrders) step(ctx context.Context, row config.Pool, draining map[string]string, newest int64, share int) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.row = row
	p.core.SetPool(row, func(a string) bool {
		_, ok := draining[a]
		return ok && !p.leavings[a] // what the engine said of itself is in its status
	})
	p.core.SetNewest(newest, share)
	every := statusIdle
	if p.core.Behind() > 0 {
		every = statusActive
	}
	if !p.asking && now.Sub(p.askedAt) >= every {
		p.asking, p.askedAt = true, now
		p.o.wg.Go(func() { p.ask(ctx) })
	}
	for _, order := range p.core.Step(now) {
		p.o.wg.Go(func() { p.give(ctx, order) })
	}
}

// ask reads the status of each engine.
func (p *poolOrders) ask(ctx context.Context) {
	p.mu.Lock()
	engines := p.core.Engines()
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, e := range engines {
		wg.Go(func() { p.askOne(ctx, e.Address) })
	}
	wg.Wait()
	p.mu.Lock()
	p.asking = false
	p.mu.Unlock()
	p.tell()
}

func (p *poolOrders) askOne(ctx context.Context, address string) {
	cctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	st, err := p.o.engines.Status(cctx, address)
	if err != nil {
		st = nil
	}
	p.mu.Lock()
	p.core.Observed(time.Now(), address, st)
	p.mu.Unlock()
}

// give sends one order, if the lease is still held at this moment.
func (p *poolOrders) give(ctx context.Context, o weights.OrderTo) {
	result := p.send(ctx, o)
	if result != weights.ResultNotSent {
		p.askOne(ctx, o.Address)
	}
	p.mu.Lock()
	p.core.Ordered(time.Now(), o.Address, result)
	p.mu.Unlock()
	p.tell()
}

func (p *poolOrders) send(ctx context.Context, o weights.OrderTo) weights.Result {
	s := p.o.s
	p.mu.Lock()
	row := p.row
	p.mu.Unlock()
	token, ok := s.leases.may(p.key.az, &row)
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
	var limited *trial.ErrRateLimited
	if errors.As(err, &limited) {
		return weights.ResultStoreBusy
	}
	return weights.ResultFailed
}

// tell spreads in the zone what the engines run, and everywhere which of them are leaving.
func (p *poolOrders) tell() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	refresh, remind := now.Sub(p.toldAt) > enginesTTL/2, now.Sub(p.remindedAt) > leavingTTL/2
	if remind {
		p.remindedAt = now
	}
	seen := map[string]int64{}
	var rumors []wire.Rumor
	for _, e := range p.core.Engines() {
		if e.SeenAt.IsZero() {
			continue
		}
		seen[e.Address] = e.Status.Version
		if e.Reached && (e.Status.Draining != p.leavings[e.Address] || (e.Status.Draining && remind)) {
			p.leavings[e.Address] = e.Status.Draining
			reason := ""
			if e.Status.Draining {
				reason = "engine says draining"
			}
			rumors = append(rumors, newLeaving(now, e.Address, reason))
		}
	}
	if text := string(encode(seen)); refresh || (p.told != text && now.Sub(p.toldAt) >= tellPause) {
		p.told, p.toldAt = text, now
		rumors = append(rumors, wire.Rumor{
			Kind: rumor.KindEngines, Key: p.key.pool + "/" + p.key.az, Seq: now.UnixMilli(),
			Expires: now.Add(enginesTTL).UnixMilli(), Value: json.RawMessage(text),
		})
	}
	p.o.s.members.put(rumors...)
}

// poolStatus is a pool's part of the state dump.
type poolStatus struct {
	Pool             string           `json:"pool"`
	AvailabilityZone string           `json:"az"`
	Target           int64            `json:"target_version"`
	Behind           int              `json:"behind"`
	Engines          []weights.Engine `json:"engines"`
}

func (o *orders) status() []poolStatus {
	o.mu.Lock()
	pools := slices.Collect(maps.Values(o.pools))
	o.mu.Unlock()
	var out []poolStatus
	for _, p := range pools {
		p.mu.Lock()
		out = append(out, poolStatus{Pool: p.key.pool, AvailabilityZone: p.key.az, Target: p.core.Target(), Behind: p.core.Behind(), Engines: p.core.Engines()})
		p.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b poolStatus) int {
		return strings.Compare(a.Pool+"/"+a.AvailabilityZone, b.Pool+"/"+b.AvailabilityZone)
	})
	return out
}
