package batch

import (
	"context"
	"expvar"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/crashes"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/forward"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/ratelimit"
	"github.com/ibistrail/ibistrail/targets"
)

// Timeouts and intervals of running items.
const (
	// firstEventTimeout is how long an engine may take to send the first event. Engines get no more requests
	// than they run at once, so a longer wait indicates a fault, and starting on another engine costs little.
	firstEventTimeout = 600 * time.Millisecond
	// eventTimeout is the longest accepted pause between two events.
	eventTimeout = 500 * time.Millisecond
	// saveInterval is how often the text of a running item is saved to the log, so that another VM can continue it.
	saveInterval = 400 * time.Millisecond
	// minRunBeforeSave is how long an item runs before its text is saved. Most items end before.
	minRunBeforeSave = time.Second
	// initialLoadDuration is the assumed duration of a weight load before one was measured.
	initialLoadDuration = time.Second
	// loadGain is the weight of a new measurement in the moving average of load durations.
	loadGain = 0.3
	// scoreTimeout is how long one try of a scoring call waits for its answer.
	scoreTimeout = 3 * time.Second
	// scoreBudget is the time that targets get for a scoring call, over all its tries, from the acceptance of its batch on.
	scoreBudget = 90 * time.Second
	// maxScorePause is the longest pause before a refused scoring call is repeated, so that it ends soon after its batch.
	maxScorePause = time.Second
	// itemRetryDelay is the pause before an item is retried after a failed run.
	itemRetryDelay = 50 * time.Millisecond
	// pollInterval is how often a runner with open items schedules without a wakeup.
	pollInterval = 125 * time.Millisecond
)

// Forwarder forwards scoring calls in the same way as requests of callers.
type Forwarder interface {
	Serve(ctx context.Context, req *forward.Request) *forward.Reply
}

// runner runs the items of open submissions in the partitions that this VM owns.
type runner struct {
	view      *fleet.View
	client    targets.Client
	forwarder Forwarder
	crashes   *crashes.Register
	limiter   *ratelimit.Limiter
	log       *slog.Logger
	az        string
	// appendResult appends a result. text is empty if the result has none or refers to data that was already written.
	appendResult   func(p *partition, submissionID string, result resultMeta, text string)
	appendProgress func(p *partition, submissionID string, parts []*Progress)
	// placeVoid places a void submission of an owned partition.
	placeVoid func(ctx context.Context, p *partition, v *voidSubmission)
	// writer identifies this process in saved texts.
	writer string

	// maxOpenItemBytes is Options.MaxOpenItemBytes.
	maxOpenItemBytes int64

	mu       sync.Mutex
	jobs     map[string]map[string]*job // by submission and item
	owned    map[*partition]bool        // partitions whose submissions this VM runs
	engines  *engines
	snapshot *fleet.Snapshot
	// unfinishedTexts are texts of closed jobs by item, kept in case the item is submitted again.
	unfinishedTexts map[ownedItem]unfinishedText
	// minVersions are the oldest versions that the newest submissions accept, by model.
	minVersions map[string]int64
	// waitingModels are the models with items that got no engine in the last scheduling pass.
	waitingModels map[string]bool
	// shortageLoggedAt is the time of the last items_wait log event.
	shortageLoggedAt time.Time
	// loadDuration is the moving average of the duration of weight loads.
	loadDuration time.Duration
	wakeups      chan struct{}
	// outcomes counts runs by outcome, durations measures the complete ones.
	outcomes  *expvar.Map
	durations *process.Latency
	// ignorePrompts is set if the choice of engines does not consider the prompts that they hold.
	ignorePrompts bool
	promptMetrics promptMetrics
}

// wake requests a scheduling pass. It does not block.
func (r *runner) wake() { process.Notify(r.wakeups) }

// run schedules items until ctx ends.
func (r *runner) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.view.Changed()
		busy := r.schedule(ctx)
		pause := time.Hour
		if busy {
			pause = pollInterval
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-r.wakeups:
			process.Sleep(ctx, wakeupDelay)
		case <-t.C:
		case <-changed:
		}
		t.Stop()
	}
}

// wakeupDelay is how long a pass is delayed after a wakeup, so that one pass serves several wakeups.
const wakeupDelay = 5 * time.Millisecond

// setOwned sets the partitions whose submissions this VM runs.
func (r *runner) setOwned(owned map[*partition]bool) {
	r.mu.Lock()
	r.owned = owned
	r.mu.Unlock()
	r.wake()
}

// schedule updates engines and jobs, starts waiting items and saves the texts of running ones. It reports whether items
// are open.
func (r *runner) schedule(ctx context.Context) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	snap := r.view.Get()
	if snap.Tables == nil {
		return false
	}
	if snap != r.snapshot {
		r.snapshot = snap
		r.engines.update(snap.Instances)
		r.engines.setMemory(snap.Tables)
	}
	r.reconcile(ctx, snap)
	if len(r.jobs) == 0 {
		return false
	}
	r.startWaiting(ctx, snap)
	r.saveRunningTexts(time.Now())
	return true
}

func newRunner(o Options) *runner {
	r := &runner{
		view: o.View, client: o.Client, forwarder: o.Forwarder, crashes: o.Crashes, limiter: o.Limiter, log: o.Log, az: o.AvailabilityZone,
		jobs: map[string]map[string]*job{}, owned: map[*partition]bool{}, engines: newEngines(),
		unfinishedTexts: map[ownedItem]unfinishedText{}, waitingModels: map[string]bool{}, minVersions: map[string]int64{},
		wakeups: make(chan struct{}, 1), loadDuration: initialLoadDuration, maxOpenItemBytes: o.MaxOpenItemBytes,
		outcomes: o.Metrics.SubMap("item_runs"), durations: o.Metrics.Latency("item_run_seconds"),
	}
	r.engines.states = o.States
	r.ignorePrompts, r.promptMetrics = o.IgnorePrompts, newPromptMetrics(o.Metrics)
	o.Limiter.OnPermit(r.wake)
	return r
}

// state returns the number of jobs by state, and the state of the engines, for the state dump.
func (r *runner) state() RunnerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := map[jobState]string{jobWaiting: "waiting", jobRunning: "running", jobScoring: "scoring", jobResultQueued: "settled"}
	jobs := map[string]int{}
	for _, js := range r.jobs {
		for _, j := range js {
			jobs[names[j.state]]++
		}
	}
	engines := map[string]EngineState{}
	for _, e := range r.engines.byKey {
		engines[e.instance.Name] = EngineState{e.inflight, e.freeSlots(time.Now()), e.eventInterval.Milliseconds(), maps.Clone(e.versions), e.storedPrompts()}
	}
	return RunnerState{jobs, engines}
}
