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

// inboxSize bounds the messages that wait for a step; attempts wait when it is full.
const inboxSize = 256

// runner is the shell of one step: one goroutine owns the Step, others run its attempts.
type runner struct {
	m        *Manager
	key      stepKey
	route    *config.Route
	spec     api.StepSpec
	deadline time.Time
	step     *Step
	ctx      context.Context
	cancel   context.CancelFunc
	// first are messages to be taken before anything is started.
	first    []Message
	inbox    chan Message
	pulls    chan *pullCall
	exports  chan chan export
	moves    chan moved
	done     chan struct{}
	wg       sync.WaitGroup
	tasks    map[AttemptID]*task
	waiting  []*pullCall
	lastPull time.Time
	inFlight atomic.Int64
	seen     atomic.Pointer[StepState]
	counted  Counts
}

// task is a running attempt or score call.
type task struct {
	cancel   context.CancelFunc
	progress *progress
}

// pullCall is a pull that waits for its answer.
type pullCall struct {
	req      api.PullRequest
	deadline time.Time
	reply    chan pullAnswer
}

type pullAnswer struct {
	resp *api.PullResponse
	err  *api.Error
}

// stepEnd tells why a runner ended.
type stepEnd struct {
	finished bool
	to       moved
	reason   string
}

// StepState is a step in the dump.
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
		exports: make(chan chan export), moves: make(chan moved), done: make(chan struct{}),
		tasks: map[AttemptID]*task{}, lastPull: m.opts.Now(),
	}
	r.step = NewStep(StepOptions{Spec: spec, Prefix: spec.ID + "-" + uuid.NewString()[:8], Deadline: deadline, Hedging: m.opts.Hedging, Past: m.past[pastKey{key.trainer, route.Name}]})
	r.ctx, r.cancel = context.WithCancel(m.ctx)
	r.seen.Store(r.describe())
	return r
}

// run owns the step until it ends.
func (r *runner) run() {
	end := r.loop()
	r.cancel()
	r.perform(r.step.Close())
	r.count()
	r.m.closed(r, end)
	close(r.done)
	r.wg.Wait()
	r.m.opts.Metrics.Add("rollout_steps_"+end.reason, 1)
	r.m.note("step_ended", r.key.id, "trainer", r.key.trainer, "reason", end.reason, "owner", end.to.owner)
}

func (r *runner) loop() stepEnd {
	tick := time.NewTicker(TickInterval)
	defer tick.Stop()
	for _, msg := range r.first {
		r.handle(msg)
	}
	r.handle(r.ticked())
	for {
		select {
		case <-r.ctx.Done():
			return stepEnd{reason: "released"}
		case msg := <-r.inbox:
			r.ended(msg)
			r.handle(msg)
		case p := <-r.pulls:
			if r.pulled(p) {
				return stepEnd{finished: true, reason: "finished"}
			}
		case reply := <-r.exports:
			reply <- r.export()
		case to := <-r.moves:
			return stepEnd{to: to, reason: "moved"}
		case <-tick.C:
			r.handle(r.ticked())
			if r.expired() {
				return stepEnd{reason: "expired"}
			}
		}
		r.answerWaiting()
	}
}

func (r *runner) expired() bool {
	now := r.m.opts.Now()
	return now.Sub(r.lastPull) > IdleTimeout || now.Sub(r.deadline) > ExpiredGrace
}

// ended forgets the task whose end a message tells.
func (r *runner) ended(msg Message) {
	switch msg := msg.(type) {
	case Answered:
		delete(r.tasks, msg.ID)
	case Scored:
		delete(r.tasks, msg.ID)
	}
}

func (r *runner) handle(msg Message) {
	effects := r.step.Handle(r.m.opts.Now(), msg)
	r.inFlight.Store(int64(len(r.step.attempts))) // before the effects, which others can see
	r.perform(effects)
}

// ticked gathers the state around the step.
func (r *runner) ticked() Ticked {
	t := Ticked{Newest: r.m.newest(r.route.Pool), Capacity: r.m.capacity(r)}
	for id, k := range r.tasks {
		if k.progress != nil {
			if p, ok := k.progress.read(id); ok {
				t.Progress = append(t.Progress, p)
			}
		}
	}
	r.count()
	return t
}

// count adds what has changed to the gate's metrics.
func (r *runner) count() {
	c, was := r.step.Counts, r.counted
	r.counted = c
	for name, d := range map[string]int64{
		"started": c.Started - was.Started, "hedged": c.Hedged - was.Hedged, "cancelled": c.Cancelled - was.Cancelled,
		"late": c.Late - was.Late, "failed": c.Failed - was.Failed, "refused": c.Refused - was.Refused,
		"stale": c.Stale - was.Stale, "unreported": c.Unreported - was.Unreported, "imported": c.Imported - was.Imported,
	} {
		if d != 0 {
			r.m.opts.Metrics.Add("rollout_attempts_"+name, d)
		}
	}
	r.m.opts.Metrics.Add("rollout_wasted_tokens", c.WastedTokens-was.WastedTokens)
	r.seen.Store(r.describe())
}

// tell hands a message to the step; it is dropped when the step has ended.
func (r *runner) tell(msg Message) {
	select {
	case r.inbox <- msg:
	case <-r.done:
	}
}

// pulled registers a pull and answers it if it can; it tells whether the step is finished.
func (r *runner) pulled(p *pullCall) bool {
	r.lastPull = r.m.opts.Now()
	r.m.state(r.m.model(r.route.Pool), p.req.TrainerVersion)
	r.handle(Pulled{Cursor: p.req.Cursor, TrainerVersion: p.req.TrainerVersion})
	if !r.answer(p) {
		r.waiting = append(r.waiting, p)
	}
	return p.req.Cursor.Count() >= r.step.Slots()
}

// answer answers a pull if a group is whole, nothing is left to wait for, or its time is over.
func (r *runner) answer(p *pullCall) bool {
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
		r.m.explain("delivered", r.key.id, "samples", len(resp.Samples), "held", p.req.Cursor.Count(), "trainer_version", p.req.TrainerVersion, "remaining", resp.Remaining)
	}
	p.reply <- pullAnswer{resp: resp}
	return true
}

func (r *runner) answerWaiting() {
	kept := r.waiting[:0]
	for _, p := range r.waiting {
		if !r.answer(p) {
			kept = append(kept, p)
		}
	}
	r.waiting = kept
}

func (r *runner) state() StepState { return *r.seen.Load() }

func (r *runner) describe() *StepState {
	st := &StepState{
		ID: r.key.id, Trainer: r.key.trainer, Route: r.route.Name, Slots: r.step.Slots(), Attempts: len(r.step.attempts),
		Window: r.step.window.size(), TrainerVersion: r.step.Version(), Deadline: r.deadline, Counts: r.step.Counts,
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
