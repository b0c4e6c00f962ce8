package rollout

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
)

// inboxSize limits the queued messages of a step; senders block when the inbox is full.
const inboxSize = 256

// runner executes one step: a single goroutine owns the Step, others run its attempts and score calls.
type runner struct {
	m        *Manager
	key      stepKey
	route    *config.Route
	spec     api.StepSpec
	deadline time.Time
	step     *Step
	ctx      context.Context
	cancel   context.CancelFunc
	// initial holds the messages to handle before the first attempt starts.
	initial        []Message
	inbox          chan Message
	pulls          chan *pullCall
	exportRequests chan chan handoverState
	handedOver     chan ownerGate
	done           chan struct{}
	wg             sync.WaitGroup
	tasks          map[AttemptID]*task
	waitingPulls   []*pullCall
	lastPull       time.Time
	inFlight       atomic.Int64
	snapshot       atomic.Pointer[StepState]
	reported       Counts
}

// task is a running attempt or score call.
type task struct {
	cancel   context.CancelFunc
	progress *progress
}

// pullCall is a queued pull.
type pullCall struct {
	req      api.PullRequest
	deadline time.Time
	reply    chan pullAnswer
}

type pullAnswer struct {
	resp *api.PullResponse
	err  *api.Error
}

// stepEnd is the reason why a runner ended.
type stepEnd struct {
	finished bool
	newOwner ownerGate
	reason   string
}

// StepState is the state of a step in the gate's state dump.
type StepState struct {
	ID             string    `json:"id"`
	Trainer        string    `json:"trainer"`
	Route          string    `json:"route"`
	Slots          int       `json:"slots"`
	Pending        int       `json:"pending"`
	Running        int       `json:"running"`
	Scoring        int       `json:"scoring"`
	Ready          int       `json:"ready"`
	Held           int       `json:"held"`
	Failed         int       `json:"failed"`
	Attempts       int       `json:"attempts"`
	Window         int       `json:"window"`
	TrainerVersion int64     `json:"trainer_version"`
	Deadline       time.Time `json:"deadline"`
	Counts         Counts    `json:"counts"`
}

func newRunner(m *Manager, key stepKey, route *config.Route, spec api.StepSpec, deadline time.Time) *runner {
	r := &runner{
		m: m, key: key, route: route, spec: spec, deadline: deadline,
		inbox: make(chan Message, inboxSize), pulls: make(chan *pullCall, MaxWaitingPulls),
		exportRequests: make(chan chan handoverState), handedOver: make(chan ownerGate), done: make(chan struct{}),
		tasks: map[AttemptID]*task{}, lastPull: m.opts.Now(),
	}
	r.step = NewStep(StepOptions{Spec: spec, Prefix: spec.ID + "-" + uuid.NewString()[:8], Deadline: deadline, Hedging: m.opts.Hedging, History: m.histories[historyKey{key.trainer, route.Name}]})
	r.ctx, r.cancel = context.WithCancel(m.ctx)
	r.snapshot.Store(r.newState())
	return r
}

// run executes the step until it ends, then cancels what is still running.
func (r *runner) run() {
	end := r.loop()
	r.cancel()
	r.perform(r.step.Close())
	r.reportCounts()
	r.m.removeRunner(r, end)
	close(r.done)
	r.wg.Wait()
	r.m.opts.Metrics.Add("rollout_steps_"+end.reason, 1)
	r.m.logEvent("step_ended", r.key.id, "trainer", r.key.trainer, "reason", end.reason, "owner", end.newOwner.owner)
}

func (r *runner) loop() stepEnd {
	tick := time.NewTicker(TickInterval)
	defer tick.Stop()
	for _, msg := range r.initial {
		r.handle(msg)
	}
	r.handle(r.newTick())
	for {
		select {
		case <-r.ctx.Done():
			return stepEnd{reason: "released"}
		case msg := <-r.inbox:
			r.removeTask(msg)
			r.handle(msg)
		case p := <-r.pulls:
			if r.handlePull(p) {
				return stepEnd{finished: true, reason: "finished"}
			}
		case reply := <-r.exportRequests:
			reply <- r.handoverState()
		case newOwner := <-r.handedOver:
			return stepEnd{newOwner: newOwner, reason: "moved"}
		case <-tick.C:
			r.handle(r.newTick())
			if r.expired() {
				return stepEnd{reason: "expired"}
			}
		}
		r.answerWaitingPulls()
	}
}

func (r *runner) expired() bool {
	now := r.m.opts.Now()
	return now.Sub(r.lastPull) > IdleTimeout || now.Sub(r.deadline) > DeadlineGrace
}

// removeTask removes the task of an attempt or score call that has ended.
func (r *runner) removeTask(msg Message) {
	switch msg := msg.(type) {
	case AttemptEnded:
		delete(r.tasks, msg.ID)
	case ScoreEnded:
		delete(r.tasks, msg.ID)
	}
}

func (r *runner) handle(msg Message) {
	effects := r.step.Handle(r.m.opts.Now(), msg)
	r.inFlight.Store(int64(len(r.step.attempts))) // before the attempts start, as other steps compute their capacity from it
	r.perform(effects)
}

// newTick collects the version, capacity and progress for the next tick, and updates the metrics.
func (r *runner) newTick() Tick {
	t := Tick{NewestVersion: r.m.newestVersion(r.route.Pool), Capacity: r.m.capacity(r)}
	for id, k := range r.tasks {
		if k.progress != nil {
			if p, ok := k.progress.report(id); ok {
				t.Progress = append(t.Progress, p)
			}
		}
	}
	r.reportCounts()
	return t
}

// reportCounts adds the changes of the step's counters to the gate's metrics and updates the state snapshot.
func (r *runner) reportCounts() {
	counts, prev := r.step.Counts, r.reported
	r.reported = counts
	for name, delta := range map[string]int64{
		"started": counts.Started - prev.Started, "hedged": counts.Hedged - prev.Hedged, "cancelled": counts.Cancelled - prev.Cancelled,
		"late": counts.Late - prev.Late, "failed": counts.Failed - prev.Failed, "refused": counts.Refused - prev.Refused,
		"stale": counts.Stale - prev.Stale, "unreported": counts.Unreported - prev.Unreported, "imported": counts.Imported - prev.Imported,
	} {
		if delta != 0 {
			r.m.opts.Metrics.Add("rollout_attempts_"+name, delta)
		}
	}
	r.m.opts.Metrics.Add("rollout_wasted_tokens", counts.WastedTokens-prev.WastedTokens)
	r.snapshot.Store(r.newState())
}

// send queues a message for the step, or drops it if the runner has ended.
func (r *runner) send(msg Message) {
	select {
	case r.inbox <- msg:
	case <-r.done:
	}
}

// handlePull answers a pull or queues it, and reports whether the step is finished: the trainer holds every slot.
func (r *runner) handlePull(p *pullCall) bool {
	r.lastPull = r.m.opts.Now()
	r.m.recordTrainerVersion(r.m.model(r.route.Pool), p.req.TrainerVersion)
	r.handle(PullReceived{Cursor: p.req.Cursor, TrainerVersion: p.req.TrainerVersion})
	if !r.tryAnswer(p) {
		r.waitingPulls = append(r.waitingPulls, p)
	}
	return p.req.Cursor.Count() >= r.step.Slots()
}

// tryAnswer answers a pull if a group is complete, every missing slot has failed, or the wait or the step's deadline
// has passed. It reports whether the pull was answered.
func (r *runner) tryAnswer(p *pullCall) bool {
	now := r.m.opts.Now()
	resp := r.step.Collect(p.req.Cursor, p.req.TrainerVersion, p.req.MaxSamples)
	if len(resp.Samples) == 0 && !resp.Done {
		if !now.Before(r.deadline) {
			p.reply <- pullAnswer{err: errorf(api.CodeDeadline, http.StatusGatewayTimeout, 0,
				"the step's time is over with %d slots missing; release it, and hand the rest in as a new step or raise timeout_ms", resp.Remaining)}
			return true
		}
		if now.Before(p.deadline) && resp.Remaining > len(resp.Failed) {
			return false
		}
	}
	if len(resp.Samples) > 0 {
		r.m.recordEvent("delivered", r.key.id, "samples", len(resp.Samples), "held", p.req.Cursor.Count(), "trainer_version", p.req.TrainerVersion, "remaining", resp.Remaining)
	}
	p.reply <- pullAnswer{resp: resp}
	return true
}

func (r *runner) answerWaitingPulls() {
	remaining := r.waitingPulls[:0]
	for _, p := range r.waitingPulls {
		if !r.tryAnswer(p) {
			remaining = append(remaining, p)
		}
	}
	r.waitingPulls = remaining
}

func (r *runner) state() StepState { return *r.snapshot.Load() }

func (r *runner) newState() *StepState {
	st := &StepState{
		ID: r.key.id, Trainer: r.key.trainer, Route: r.route.Name, Slots: r.step.Slots(), Attempts: len(r.step.attempts),
		Window: r.step.window.size(), TrainerVersion: r.step.TrainerVersion(), Deadline: r.deadline, Counts: r.step.Counts,
	}
	for i := range r.step.slots {
		switch r.step.slots[i].state {
		case slotPending:
			st.Pending++
		case slotRunning:
			st.Running++
		case slotScoring:
			st.Scoring++
		case slotReady:
			st.Ready++
		case slotHeld:
			st.Held++
		case slotFailed:
			st.Failed++
		}
	}
	return st
}
