package batch

import (
	"context"
	"expvar"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/forward"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/targets"
)

// Times of running items.
const (
	// firstEventWait is how long an engine may take to the first event. Engines get no more requests
	// than they run at once, so a wait means that something is wrong; a start elsewhere costs little.
	firstEventWait = time.Second
	// eventWait is how long an engine may pause between events.
	eventWait = 700 * time.Millisecond
	// saveEvery is how often the text of a long item is written down, so that another VM can go on.
	saveEvery = time.Second
	// initialLoad is how long a load of weights is taken to last before one was measured.
	initialLoad = time.Second
	// loadGain is the weight of a new measurement in the moving average.
	loadGain = 0.3
	// scoreBudget is the time that a scoring call gets.
	scoreBudget = 3 * time.Second
	// itemRetry is the pause before an item whose run failed is tried again.
	itemRetry = 50 * time.Millisecond
	// idleTick is how often a runner with open items looks for work that nothing announced.
	idleTick = 250 * time.Millisecond
)

// Forwarder serves the scoring calls, as it serves callers.
type Forwarder interface {
	Serve(ctx context.Context, req *forward.Request) *forward.Reply
}

// runner runs the items of open submissions in the partitions that this VM owns.
type runner struct {
	view   *fleet.View
	client targets.Client
	fwd    Forwarder
	log    *slog.Logger
	az     string
	// list appends a result, and its text unless an earlier record holds it.
	list func(p *partition, submission string, l listing, text string)
	save func(p *partition, submission string, pr *Progress)
	// writer names this process in saved texts.
	writer string

	mu      sync.Mutex
	jobs    map[string]map[string]*job // by submission and item
	parts   map[*partition]bool        // owned
	engines *engines
	seen    *fleet.Snapshot
	// texts are unfinished texts of ended submissions, which may come again.
	texts map[string]leftover
	// least are the least versions that the newest submissions of each model accept.
	least map[string]int64
	// short are the models of which items waited for an engine at the last look.
	short map[string]bool
	// toldShort is when a shortage was logged last.
	toldShort time.Time
	// load is how long a load of weights lasts.
	load time.Duration
	kick chan struct{}
	// outcomes counts runs of items by how they ended, seconds is how long whole ones took.
	outcomes *expvar.Map
	seconds  *process.Latency
}

// wake asks for a look at the work, without waiting.
func (r *runner) wake() {
	select {
	case r.kick <- struct{}{}:
	default: // a look is due anyway
	}
}

// run looks for work until ctx ends.
func (r *runner) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.view.Changed()
		busy := r.look(ctx)
		pause := time.Hour
		if busy {
			pause = idleTick
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-r.kick:
			process.Sleep(ctx, gatherKicks)
		case <-t.C:
		case <-changed:
		}
		t.Stop()
	}
}

// gatherKicks is how long a look waits for further reasons, so that one serves several.
const gatherKicks = 5 * time.Millisecond

// own sets the partitions whose submissions this VM runs.
func (r *runner) own(parts map[*partition]bool) {
	r.mu.Lock()
	r.parts = parts
	r.mu.Unlock()
	r.wake()
}

// look takes in what changed and starts what can start. It returns whether items are open.
func (r *runner) look(ctx context.Context) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	snap := r.view.Get()
	if snap.Tables == nil {
		return false
	}
	if snap != r.seen {
		r.seen = snap
		r.engines.update(snap.Instances)
	}
	r.reconcile(ctx, snap)
	if len(r.jobs) == 0 {
		return false
	}
	r.start(ctx, snap)
	r.saveLong(time.Now())
	return true
}

// newRunner returns a runner without work.
func newRunner(o Options) *runner {
	return &runner{
		view: o.View, client: o.Client, fwd: o.Forwarder, log: o.Log, az: o.AvailabilityZone,
		jobs: map[string]map[string]*job{}, parts: map[*partition]bool{}, engines: newEngines(), texts: map[string]leftover{}, short: map[string]bool{}, least: map[string]int64{},
		kick: make(chan struct{}, 1), load: initialLoad,
		outcomes: o.Metrics.SubMap("item_runs"), seconds: o.Metrics.Latency("item_run_seconds"),
	}
}

// state shows the open jobs by state, and the engines.
func (r *runner) state() RunnerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := map[jobState]string{waiting: "waiting", running: "running", scoring: "scoring", settled: "settled"}
	jobs := map[string]int{}
	for _, js := range r.jobs {
		for _, j := range js {
			jobs[names[j.state]]++
		}
	}
	engines := map[string]EngineState{}
	for _, e := range r.engines.by {
		engines[e.instance.Name] = EngineState{e.inflight, e.room(time.Now()), e.pace.Milliseconds(), maps.Clone(e.versions)}
	}
	return RunnerState{jobs, engines}
}
