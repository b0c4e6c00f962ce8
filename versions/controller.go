package versions

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
)

// Times of the duty.
const (
	// idleInterval is how often the duty looks again where nothing is pending.
	idleInterval = 2 * time.Second
)

// Duty orders the engines of one pool while this VM has that task.
type Duty struct {
	Pool    string
	View    *fleet.View
	Engines Engines
	Tenure  Tenure
	Log     *slog.Logger
	// Holder names this VM to the engines.
	Holder string
	// Needs tells what the steps of each model want.
	Needs Needs
	// Loads is told of loads that begin and end.
	Loads   Loads
	planner *Planner
}

// Tenure is the right to give orders.
type Tenure interface {
	// OrderDelay returns how long it takes until orders may be given; ok is false if it is not held.
	OrderDelay() (wait time.Duration, ok bool)
	// BeginWave records a wave of orders, which may be sent while MaySend holds.
	BeginWave(ctx context.Context) error
	MaySend() bool
	// Held returns the fencing token.
	Held() (token int64, held bool)
}

// Loads follows loads of weight versions, so that requests keep off engines that would refuse them.
type Loads interface {
	LoadBegan(i Intent)
	LoadEnded(i Intent, took time.Duration)
	LoadFailed(i Intent)
}

// Run gives orders until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	d.planner = NewPlanner()
	for ctx.Err() == nil {
		changed := d.View.Changed()
		pause := d.step(ctx)
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-changed:
			// Registrations change all the time; a short pause lets several be taken at once.
			process.Sleep(ctx, min(pause, 50*time.Millisecond))
		}
		timer.Stop()
	}
}

// step orders what is due and returns when to look again.
func (d *Duty) step(ctx context.Context) time.Duration {
	snap := d.View.Get()
	if snap.Tables == nil {
		return idleInterval
	}
	pool := snap.Tables.Pool(d.Pool)
	if pool == nil || pool.Engine == nil {
		return idleInterval
	}
	d.planner.Update(pool, snap.Pool(d.Pool))
	d.readReports(ctx, d.planner.ReportsDue(time.Now()))
	intents := d.planner.Plan(time.Now(), snap.Named, d.Needs)
	if len(intents) == 0 {
		return d.pause()
	}
	if wait, ok := d.Tenure.OrderDelay(); !ok || wait > 0 {
		d.cancel(intents)
		return max(retryDelay, min(wait, idleInterval))
	}
	d.orderWave(ctx, snap, intents)
	return d.pause()
}

// pause is how long nothing is to be done, unless registrations change.
func (d *Duty) pause() time.Duration {
	if wait, ok := d.planner.NextCheck(time.Now()); ok {
		return min(wait, idleInterval)
	}
	return idleInterval
}

// cancel takes back intents that were not ordered.
func (d *Duty) cancel(intents []Intent) {
	for _, i := range intents {
		d.planner.RecordFailure(time.Now(), i.Instance.Key())
	}
}

// readReports reads the reports of engines, at the same time.
func (d *Duty) readReports(ctx context.Context, intents []Intent) map[fleet.Key]Report {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[fleet.Key]Report{}
	for _, i := range intents {
		in := i.Instance
		wg.Add(1)
		go func() {
			defer wg.Done()
			r, err := d.Engines.Report(ctx, in.Address, in.Name)
			if err != nil {
				d.Log.Warn("engine_report", "engine", in.Name, "outcome", "failed", "err", err)
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
			continue
		}
		if took, done := d.planner.RecordReport(time.Now(), i.Instance.Key(), r); done {
			d.Loads.LoadEnded(i, took)
			d.Log.Info("version_loaded", "engine", i.Instance.Name, "model", i.Model, "version", i.Version, "ms", took.Milliseconds())
		}
	}
	return out
}

// orderWave orders the intents whose engines report that they still need them.
func (d *Duty) orderWave(ctx context.Context, snap *fleet.Snapshot, intents []Intent) {
	reports := d.readReports(ctx, intents)
	var due []Intent
	for _, i := range intents {
		r, ok := reports[i.Instance.Key()]
		switch {
		case !ok || r.Loading:
			d.planner.RecordFailure(time.Now(), i.Instance.Key())
		case r.Versions[i.Model] < i.Version:
			due = append(due, i)
		}
	}
	if len(due) == 0 {
		return
	}
	if err := d.Tenure.BeginWave(ctx); err != nil {
		d.Log.Warn("order_tenure", "pool", d.Pool, "outcome", "lost", "err", err)
		d.cancel(due)
		return
	}
	token, _ := d.Tenure.Held()
	var wg sync.WaitGroup
	verdicts := make([]Verdict, len(due))
	for n, i := range due {
		o := Order{
			InstanceID: i.Instance.Name, Address: i.Instance.Address, Model: i.Model, Version: i.Version, Mode: orderMode(snap.Tables, d.Pool),
			Holder: d.Holder, FencingToken: token, ExpectOrders: reports[i.Instance.Key()].Orders,
		}
		d.Loads.LoadBegan(i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !d.Tenure.MaySend() {
				return
			}
			v, err := d.Engines.Order(ctx, o)
			verdicts[n] = v
			d.Log.Info("version_order", "engine", o.InstanceID, "model", o.Model, "version", o.Version, "token", o.FencingToken,
				"after_orders", o.ExpectOrders, "outcome", string(v), "err", err)
		}()
	}
	wg.Wait()
	for n, i := range due {
		if v := verdicts[n]; v != Accepted && v != Holds {
			d.planner.RecordFailure(time.Now(), i.Instance.Key())
			d.Loads.LoadFailed(i)
		}
	}
}

// orderMode is await where some route of the pool wants samples of one version each.
func orderMode(t *fleet.Tables, pool string) Mode {
	for i := range t.Routes {
		if r := &t.Routes[i]; r.SingleVersion && r.Uses(pool) {
			return Await
		}
	}
	return CarryOver
}
