package versions

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
)

const (
	// idleInterval is the pause between two steps while nothing is pending.
	idleInterval = 2 * time.Second
	// reportTimeout bounds the reading of one report. Orders to other engines wait for it.
	reportTimeout = 250 * time.Millisecond
)

// Controller orders the engines of one pool to load new weight versions while this VM is responsible for the pool.
type Controller struct {
	Pool    string
	View    *fleet.View
	Engines Engines
	Tenure  Tenure
	Log     *slog.Logger
	// Holder identifies this VM in orders to the engines.
	Holder string
	// Demand describes the demand for each model.
	Demand Demand
	// LoadObserver is notified when loads start and end.
	LoadObserver LoadObserver
	planner      *Planner
}

// Tenure is the exclusive right to send orders to a pool's engines.
type Tenure interface {
	// OrderDelay returns the time until orders may be sent; ok is false if the tenure is not held.
	OrderDelay() (wait time.Duration, ok bool)
	// BeginWave records a wave of orders, which may be sent while MaySend returns true.
	BeginWave(ctx context.Context) error
	MaySend() bool
	// Held returns the fencing token, and whether the tenure is held.
	Held() (token int64, held bool)
}

// LoadObserver tracks loads of weight versions, so that no requests are sent to engines that would reject them.
type LoadObserver interface {
	LoadStarted(i Intent)
	LoadFinished(i Intent, took time.Duration)
	LoadFailed(i Intent)
}

// Run sends orders until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	c.planner = NewPlanner()
	for ctx.Err() == nil {
		changed := c.View.Changed()
		pause := c.step(ctx)
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-changed:
			// Registrations change frequently; a short pause batches several changes.
			process.Sleep(ctx, min(pause, 50*time.Millisecond))
		}
		timer.Stop()
	}
}

// step sends the orders that are due and returns the time until the next step.
func (c *Controller) step(ctx context.Context) time.Duration {
	snap := c.View.Get()
	if snap.Tables == nil {
		return idleInterval
	}
	pool := snap.Tables.Pool(c.Pool)
	if pool == nil || pool.Engine == nil {
		return idleInterval
	}
	c.planner.Update(pool, snap.Pool(c.Pool))
	c.readReports(ctx, c.planner.ReportsDue(time.Now()))
	intents := c.planner.Plan(time.Now(), snap.NamedVersions, c.Demand)
	if len(intents) == 0 {
		return c.pause()
	}
	if wait, ok := c.Tenure.OrderDelay(); !ok || wait > 0 {
		c.cancel(intents)
		return max(retryDelay, min(wait, idleInterval))
	}
	if c.orderWave(ctx, snap, intents) {
		return 0 // there may be other engines to load in the place of those without a report
	}
	return c.pause()
}

// pause returns the time until the next step, unless registrations change before.
func (c *Controller) pause() time.Duration {
	if wait, ok := c.planner.NextCheck(time.Now()); ok {
		return min(wait, idleInterval)
	}
	return idleInterval
}

// cancel marks intents that were not ordered as failed, so that they are planned again.
func (c *Controller) cancel(intents []Intent) {
	for _, i := range intents {
		c.planner.RecordFailure(time.Now(), i.Instance.Key())
	}
}

// readReports reads the reports of the intents' engines concurrently and applies them to the plan. Engines whose report
// could not be read are missing in the result, and in the plan for some time.
func (c *Controller) readReports(ctx context.Context, intents []Intent) map[fleet.Key]Report {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[fleet.Key]Report{}
	for _, i := range intents {
		in := i.Instance
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			r, err := c.Engines.Report(ctx, in.Address, in.Name)
			if err != nil {
				c.Log.Warn("engine_report", "engine", in.Name, "outcome", "failed", "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[in.Key()] = r
		}()
	}
	wg.Wait()
	for _, i := range intents {
		r, ok := out[i.Instance.Key()]
		if !ok {
			c.planner.RecordMissedReport(time.Now(), i.Instance.Key())
			continue
		}
		if took, done := c.planner.RecordReport(time.Now(), i.Instance.Key(), r); done {
			c.LoadObserver.LoadFinished(i, took)
			c.Log.Info("version_loaded", "engine", i.Instance.Name, "model", i.Model, "version", i.Version, "ms", took.Milliseconds())
		}
	}
	return out
}

// orderWave sends the orders of the intents whose engines still run an older version according to their reports. It reports
// whether an engine left its report unanswered.
func (c *Controller) orderWave(ctx context.Context, snap *fleet.Snapshot, intents []Intent) (missed bool) {
	reports := c.readReports(ctx, intents)
	var due []Intent
	for _, i := range intents {
		r, ok := reports[i.Instance.Key()]
		switch {
		case !ok:
			missed = true
			c.planner.Cancel(i.Instance.Key())
		case r.Loading:
			c.planner.RecordFailure(time.Now(), i.Instance.Key())
		case r.Versions[i.Model] < i.Version:
			due = append(due, i)
		}
	}
	if len(due) == 0 {
		return missed
	}
	if err := c.Tenure.BeginWave(ctx); err != nil {
		c.Log.Warn("order_tenure", "pool", c.Pool, "outcome", "lost", "err", err)
		c.cancel(due)
		return false
	}
	token, _ := c.Tenure.Held()
	var wg sync.WaitGroup
	verdicts := make([]Verdict, len(due))
	for n, i := range due {
		o := Order{
			InstanceID: i.Instance.Name, Address: i.Instance.Address, Model: i.Model, Version: i.Version, Mode: orderMode(snap.Tables, c.Pool),
			Holder: c.Holder, FencingToken: token, ExpectOrders: reports[i.Instance.Key()].Orders,
		}
		c.LoadObserver.LoadStarted(i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !c.Tenure.MaySend() {
				return
			}
			v, err := c.Engines.Order(ctx, o)
			verdicts[n] = v
			c.Log.Info("version_order", "engine", o.InstanceID, "model", o.Model, "version", o.Version, "token", o.FencingToken,
				"after_orders", o.ExpectOrders, "outcome", string(v), "err", err)
		}()
	}
	wg.Wait()
	for n, i := range due {
		if v := verdicts[n]; v != Accepted && v != Holds {
			c.planner.RecordFailure(time.Now(), i.Instance.Key())
			c.LoadObserver.LoadFailed(i)
		}
	}
	return missed
}

// orderMode returns Await if any route of the pool requires samples of a single version, otherwise CarryOver.
func orderMode(t *fleet.Tables, pool string) Mode {
	for i := range t.Routes {
		if r := &t.Routes[i]; r.SingleVersion && r.UsesPool(pool) {
			return Await
		}
	}
	return CarryOver
}
