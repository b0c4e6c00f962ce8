// Package targetstate holds what targets state about themselves in their answers, by instance. It does no I/O.
package targetstate

import (
	"expvar"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/targets"
)

// stateTTL and drainingTTL are how long the state of an instance is kept after its last answer. One that drains gets no requests, so
// that it answers none, and may go on for long.
const (
	stateTTL    = 10 * time.Minute
	drainingTTL = 6 * time.Hour
)

// Register holds the newest statements of each instance. It is safe for concurrent use.
type Register struct {
	log *slog.Logger
	// events counts limits that were named and lifted, and requests sent while one was in force.
	events *expvar.Map
	// inUse is false as long as no instance has stated anything, so that lookups take no lock.
	inUse  atomic.Bool
	mu     sync.Mutex
	states map[fleet.Key]*state
}

// state is what one instance has stated.
type state struct {
	limit *RateLimit
	// draining is set for good once the instance has said that it leaves.
	draining bool
	// answeredAt is the time of the answer that set or lifted the limit.
	answeredAt time.Time
	lastSeen   time.Time
}

// RateLimit is the rate of requests that a target accepts from all VMs together.
type RateLimit struct {
	PerSecond float64
	// StatedAt is the time of the newest answer that named the limit.
	StatedAt time.Time
}

// NewRegister returns an empty register.
func NewRegister(log *slog.Logger, metrics *process.Metrics) *Register {
	return &Register{log: log, events: metrics.SubMap("target_limits"), states: map[fleet.Key]*state{}}
}

// Observe records what an answer states. The request was sent at sentAt. Answers on different connections overtake each
// other, so one whose request was sent before the newest statement was received does not lift a limit.
func (r *Register) Observe(in *fleet.Instance, sentAt, now time.Time, answer *targets.Response) {
	states := answer.RateLimit != nil || answer.Draining
	if answer.WrongInstance || !states && !r.inUse.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[in.Key()]
	if s == nil {
		if !states {
			return
		}
		r.expire(now)
		s = &state{}
		r.states[in.Key()] = s
		r.inUse.Store(true)
	}
	s.lastSeen = now
	if answer.Draining && !s.draining {
		s.draining = true
		r.log.Info("target_draining", "target", in.Name, "pool", in.Pool)
	}
	if sentAt.Before(s.answeredAt) && answer.RateLimit == nil {
		return
	}
	r.setLimit(in, s, now, answer.RateLimit)
}

// setLimit sets or, with nil, lifts the limit of an instance. The caller holds the lock.
func (r *Register) setLimit(in *fleet.Instance, s *state, now time.Time, perSecond *float64) {
	previous := s.limit
	s.answeredAt = now
	switch {
	case perSecond == nil && previous == nil:
		return
	case perSecond == nil:
		s.limit = nil
		r.events.Add("lifted", 1)
		r.log.Info("target_limit_lifted", "target", in.Name, "pool", in.Pool, "per_second", previous.PerSecond)
	default:
		s.limit = &RateLimit{PerSecond: *perSecond, StatedAt: now}
		if previous == nil {
			r.events.Add("named", 1)
		}
		if previous == nil || previous.PerSecond != *perSecond {
			r.log.Info("target_limit", "target", in.Name, "pool", in.Pool, "per_second", *perSecond)
		}
	}
}

// Draining reports whether an instance takes no new requests, according to its registration or to one of its answers. What it said
// itself holds whatever its registration says, which may be old.
func (r *Register) Draining(in *fleet.Instance) bool {
	if in.Draining || r == nil || !r.inUse.Load() {
		return in.Draining
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[in.Key()]
	return s != nil && s.draining
}

// RateLimit returns the limit that an instance has named; ok is false if it has none.
func (r *Register) RateLimit(in *fleet.Instance) (limit RateLimit, ok bool) {
	if !r.inUse.Load() {
		return RateLimit{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.states[in.Key()]; s != nil && s.limit != nil {
		return *s.limit, true
	}
	return RateLimit{}, false
}

// expire removes the states of instances that have not answered for stateTTL. The caller holds the lock.
func (r *Register) expire(now time.Time) {
	for k, s := range r.states {
		if now.Sub(s.lastSeen) > stateTTL && !s.draining || now.Sub(s.lastSeen) > drainingTTL {
			delete(r.states, k)
		}
	}
}

// DrainingTargets returns the IDs of the instances that said that they leave, sorted, for the state dump.
func (r *Register) DrainingTargets() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for k, s := range r.states {
		if s.draining {
			out = append(out, k.ID)
		}
	}
	slices.Sort(out)
	return out
}

// RateLimits returns the limits in force by the ID of the instance, for the state dump.
func (r *Register) RateLimits() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]float64{}
	for k, s := range r.states {
		if s.limit != nil {
			out[k.ID] = s.limit.PerSecond
		}
	}
	return out
}
