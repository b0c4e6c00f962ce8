package crashes

import (
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/quarantine"
	"github.com/ibistrail/ibistrail/store"
	"github.com/ibistrail/ibistrail/wire"
)

// Prober checks whether a target has ended.
type Prober interface {
	Gone(ctx context.Context, instance *fleet.Instance) bool
}

// Options configure a Register.
type Options struct {
	Store store.Log
	// Topic is the compacted topic that the VMs share.
	Topic   string
	Targets Prober
	Log     *slog.Logger
	Metrics *process.Metrics
}

// Register holds the deaths of targets by the requests that were running there, as seen by this VM and the others. While
// the store is out, it goes by what this VM has seen. It is safe for concurrent use.
type Register struct {
	opts   Options
	events *expvar.Map

	// inUse is false as long as no request is suspected or quarantined, so that Admit takes no lock.
	inUse atomic.Bool
	mu    sync.Mutex
	// tracker decides on requests by the deaths that have not expired.
	tracker *quarantine.Tracker
	deaths  map[string]map[wire.Death]*deathState // by fingerprint
	// answers are this VM's. A death before an answer is taken back, also if it becomes known later.
	answers recentAnswers
	unsaved map[wire.Death]change
	changed chan struct{}
	// urgent ends the wait before the next append.
	urgent chan struct{}
}

// deathState is the state of a known death.
type deathState struct {
	at time.Time // by the clock of the VM that recorded it
	// expires is until when the death counts.
	expires time.Time
	// own is set if this process recorded the death, appended if it has begun to append it to the topic.
	own, appended bool
}

// New returns an empty register. Nothing is shared until Run.
func New(o Options) *Register {
	return &Register{
		opts: o, events: o.Metrics.SubMap("crashes"), tracker: quarantine.NewTracker(),
		deaths: map[string]map[wire.Death]*deathState{}, unsaved: map[wire.Death]change{}, changed: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
	}
}

// Admission tells whether a request may run.
type Admission struct {
	// Rejected is set if the request must not run before RetryAfter has passed, for the given reason.
	Rejected   bool
	RetryAfter time.Duration
	Reason     string
	// Suspect is set if a target has crashed while it ran the request.
	Suspect bool
}

// Admit decides whether a request may be sent to a target.
func (r *Register) Admit(fingerprint string) Admission {
	if !r.inUse.Load() {
		return Admission{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	_, known := r.tracker.Quarantined(now, fingerprint)
	status, q := r.tracker.Decide(now, fingerprint)
	switch status {
	case quarantine.StatusSuspect:
		return Admission{Suspect: true}
	case quarantine.StatusUndecided:
		return Admission{Rejected: true, RetryAfter: quarantine.ReportWindow, Reason: "several targets crashed while running this request; it may be sent again when their other requests are known"}
	case quarantine.StatusQuarantined:
		if !known {
			r.events.Add("quarantined", 1)
			r.opts.Log.Warn("request_quarantined", "content", fingerprint, "deaths", q.Deaths, "until", q.Until)
		}
		return Admission{
			Rejected: true, RetryAfter: q.Until.Sub(now),
			Reason: fmt.Sprintf("%d targets crashed while running this request; it is not run until %s, change it or ask the operator", q.Deaths, q.Until.UTC().Format(time.RFC3339)),
		}
	}
	return Admission{}
}

// RunBroken records that a run of a request ended without an answer. If the target has ended, the request becomes a suspect,
// also if its caller leaves meanwhile.
func (r *Register) RunBroken(fingerprint string, instance *fleet.Instance) {
	if !r.opts.Targets.Gone(context.Background(), instance) {
		return
	}
	d := wire.Death{Fingerprint: fingerprint, Target: instance.Name, Boot: bootOf(instance)}
	r.events.Add("deaths", 1)
	r.opts.Log.Warn("target_died", "target", instance.Name, "pool", instance.Pool, "content", fingerprint)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.add(now, d, &deathState{at: now, expires: now.Add(quarantine.SuspectTTL), own: true}) {
		r.save(d, put)
		if len(r.deaths[fingerprint]) > 1 {
			process.Notify(r.urgent)
		}
	}
}

// bootOf returns the incarnation of a target; empty if it did not report its start.
func bootOf(instance *fleet.Instance) string {
	if instance.StartedMs == 0 {
		return ""
	}
	return strconv.FormatInt(instance.StartedMs, 10)
}

// Answered records that a target survived a run of a request, which clears a suspect. It also ends a quarantine: the request
// was quarantined for deaths that it did not cause.
func (r *Register) Answered(fingerprint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers.record(fingerprint, time.Now())
	if len(r.deaths[fingerprint]) == 0 {
		return
	}
	r.events.Add("cleared", 1)
	r.opts.Log.Info("suspect_cleared", "content", fingerprint)
	for d := range r.deaths[fingerprint] {
		r.save(d, remove)
	}
	delete(r.deaths, fingerprint)
	r.tracker.Clear(fingerprint)
	r.updateInUse()
}

// add records a death and reports whether it is new. The caller holds the lock.
func (r *Register) add(now time.Time, d wire.Death, state *deathState) bool {
	known := r.deaths[d.Fingerprint]
	if known[d] != nil {
		return false
	}
	if state.at.Before(r.answers.last(d.Fingerprint)) {
		r.save(d, remove)
		return false
	}
	if known == nil {
		known = map[wire.Death]*deathState{}
		r.deaths[d.Fingerprint] = known
	}
	known[d] = state
	if now.Before(state.expires) {
		r.tracker.RecordDeathAt(now, state.at, d)
	}
	r.updateInUse()
	return true
}

// forget removes a death; without deaths, a request is neither suspected nor quarantined. The caller holds the lock.
func (r *Register) forget(d wire.Death) {
	known := r.deaths[d.Fingerprint]
	delete(known, d)
	r.tracker.ForgetDeath(d)
	if len(known) == 0 {
		delete(r.deaths, d.Fingerprint)
		r.tracker.Clear(d.Fingerprint)
	}
	r.updateInUse()
}

func (r *Register) updateInUse() { r.inUse.Store(len(r.deaths) > 0 || !r.tracker.Empty()) }

// State returns the suspects and the quarantined requests, for the state dump.
func (r *Register) State() quarantine.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.State()
}
