package rollout

import (
	"fmt"
	"time"

	"github.com/ibistrail/ibistrail/api"
)

type slotState int

// The states of a slot. Only ready slots are handed over; held ones the trainer has.
const (
	slotPending slotState = iota
	slotRunning
	slotScoring
	slotReady
	slotHeld
	slotFailed
)

// slot is one sample to be made.
type slot struct {
	state     slotState
	group     int
	notBefore time.Time
	failures  int
	started   int
	running   []*attempt
	// sample, its attempt and its oldest version are set from scoring on.
	sample     *api.Sample
	attempt    AttemptID
	oldest     int64
	scoreTries int
	scoreAt    time.Time
	// resume is what a failed attempt has left.
	resume *Answered
	failed *api.FailedSlot
}

// attempt is one run of a slot.
type attempt struct {
	id      AttemptID
	slot    int
	started time.Time
	last    time.Time
	first   time.Time
	tokens  int
	oldest  int64
	// continued is the number of tokens that came from an earlier attempt.
	continued int
	// before and mark are two earlier states of its progress, rateInterval apart.
	before, mark progressMark
}

// progressMark is how far an attempt was at a time.
type progressMark struct {
	at     time.Time
	tokens int
}

type group struct {
	id     string
	prompt string
	first  int
	n      int
}

// StepOptions configure a Step.
type StepOptions struct {
	Spec api.StepSpec
	// Prefix starts the ID of each attempt; it must be unique to this run of the step.
	Prefix   string
	Deadline time.Time
	// Hedging lets stragglers run a second time.
	Hedging bool
	// Past is what an earlier step of the trainer has learned; nil means nothing.
	Past *Past
}

// Past is what a step has learned about the pool.
type Past struct {
	stats  stats
	window window
}

// Step is the pure state of one step: messages in, effects out. It knows slots, not attempts: the
// first whole and fresh attempt takes the slot, and what another one answers later is dropped.
type Step struct {
	opts     StepOptions
	groups   []group
	slots    []slot
	attempts map[AttemptID]*attempt
	scoring  map[AttemptID]int
	// version is what the trainer stated last.
	version int64
	pace    pace
	newest  int64
	window  window
	// notBefore holds all starts back after a refusal.
	notBefore time.Time
	stats     stats
	hedges    int
	// open is the first slot that may not be held.
	open   int
	Counts Counts
}

// Counts are what has become of a step's attempts.
type Counts struct {
	Started    int64 `json:"started"`
	Hedged     int64 `json:"hedged"`
	Cancelled  int64 `json:"cancelled"`
	Late       int64 `json:"late"`
	Failed     int64 `json:"failed"`
	Refused    int64 `json:"refused"`
	Stale      int64 `json:"stale"`
	Unreported int64 `json:"unreported"`
	Imported   int64 `json:"imported"`
	// WastedTokens were generated and not handed over.
	WastedTokens int64 `json:"wasted_tokens"`
}

// NewStep returns a step whose slots are pending, but for those that spec.Held names.
func NewStep(opts StepOptions) *Step {
	s := &Step{
		opts: opts, attempts: map[AttemptID]*attempt{}, scoring: map[AttemptID]int{},
		version: opts.Spec.TrainerVersion, window: newWindow(),
	}
	if opts.Past != nil {
		s.stats, s.window = opts.Past.stats.clone(), opts.Past.window
	}
	for i, g := range opts.Spec.Groups {
		s.groups = append(s.groups, group{id: g.ID, prompt: g.Prompt, first: len(s.slots), n: g.Samples})
		for range g.Samples {
			s.slots = append(s.slots, slot{group: i})
		}
	}
	for i := range s.slots {
		if opts.Spec.Held.Has(i) {
			s.slots[i].state = slotHeld
		}
	}
	return s
}

// Handle takes one message and returns what the shell has to do.
func (s *Step) Handle(now time.Time, m Message) []Effect {
	var effects []Effect
	switch m := m.(type) {
	case Pulled:
		effects = s.pulled(now, m)
	case Ticked:
		s.newest = max(s.newest, m.Newest)
		s.window.limit(m.Capacity)
		for _, p := range m.Progress {
			effects = append(effects, s.progressed(p)...)
		}
		s.window.settle(now, s.stats.usual().duration)
		effects = append(effects, s.start(now)...)
		return append(effects, s.hedge(now)...)
	case Answered:
		effects = s.answered(now, m)
	case Scored:
		effects = s.scored(now, m)
	case Imported:
		effects = s.imported(m)
	default:
		panic(fmt.Sprintf("rollout: message %T is not handled", m))
	}
	return append(effects, s.start(now)...)
}

// Past returns what the step has learned, for the next one.
func (s *Step) Past() *Past { return &Past{stats: s.stats.clone(), window: s.window} }

// Slots returns the number of slots.
func (s *Step) Slots() int { return len(s.slots) }

// Version returns the trainer's version as last stated.
func (s *Step) Version() int64 { return s.version }

// need is the oldest version that a sample may hold for a trainer at version.
func (s *Step) need(version int64) int64 { return version - s.opts.Spec.StalenessBound }

// pulled makes the cursor the truth: what it names is held, and what it no longer names has been
// lost by the trainer and is made again.
func (s *Step) pulled(now time.Time, m Pulled) []Effect {
	var effects []Effect
	s.pace.observe(now, m.TrainerVersion)
	s.version = m.TrainerVersion
	for i := range s.slots {
		sl := &s.slots[i]
		switch held := m.Cursor.Has(i); {
		case held && sl.state != slotHeld:
			effects = append(effects, s.vacate(sl)...)
			sl.state = slotHeld
		case !held && sl.state == slotHeld:
			sl.state = slotPending
			s.open = 0
		}
	}
	return append(effects, s.dropStale()...)
}

// dropStale discards samples and cancels attempts that the trainer's version has left behind.
func (s *Step) dropStale() []Effect {
	var effects []Effect
	need := s.need(s.version)
	for i := range s.slots {
		sl := &s.slots[i]
		if sl.sample != nil && sl.oldest < need {
			s.Counts.Stale++
			s.Counts.WastedTokens += int64(len(sl.sample.Tokens))
			effects = append(effects, s.vacate(sl)...)
			sl.state = slotPending
			continue
		}
		for _, a := range append([]*attempt(nil), sl.running...) {
			if a.oldest > 0 && a.oldest < need {
				effects = append(effects, s.cancel(a))
			}
		}
		s.settle(sl)
	}
	return effects
}

// vacate takes everything out of a slot.
func (s *Step) vacate(sl *slot) []Effect {
	var effects []Effect
	for _, a := range append([]*attempt(nil), sl.running...) {
		effects = append(effects, s.cancel(a))
	}
	if _, ok := s.scoring[sl.attempt]; ok {
		delete(s.scoring, sl.attempt)
		effects = append(effects, CancelAttempt{ID: sl.attempt})
	}
	sl.sample, sl.attempt, sl.oldest, sl.scoreTries, sl.resume = nil, "", 0, 0, nil
	return effects
}

// cancel forgets an attempt; its answer will be dropped.
func (s *Step) cancel(a *attempt) Effect {
	s.Counts.Cancelled++
	s.Counts.WastedTokens += int64(a.tokens - a.continued)
	s.forget(a)
	return CancelAttempt{ID: a.id}
}

func (s *Step) forget(a *attempt) {
	delete(s.attempts, a.id)
	sl := &s.slots[a.slot]
	for i, r := range sl.running {
		if r == a {
			sl.running = append(sl.running[:i], sl.running[i+1:]...)
			break
		}
	}
}

// settle returns a slot that has lost its last attempt to pending.
func (s *Step) settle(sl *slot) {
	if sl.state == slotRunning && len(sl.running) == 0 {
		sl.state = slotPending
	}
}

func (s *Step) progressed(m Progress) []Effect {
	a := s.attempts[m.ID]
	if a == nil {
		return nil
	}
	if m.Tokens > a.tokens {
		a.tokens, a.first, a.last = m.Tokens, m.First, m.Last
		a.remember()
	}
	a.oldest = m.Oldest
	if a.oldest > 0 && a.oldest < s.need(s.version) {
		s.Counts.Stale++
		e := s.cancel(a)
		s.settle(&s.slots[a.slot])
		return []Effect{e}
	}
	return nil
}

// Close gives everything up that runs.
func (s *Step) Close() []Effect {
	var effects []Effect
	for i := range s.slots {
		effects = append(effects, s.vacate(&s.slots[i])...)
	}
	return effects
}

// Idle tells whether nothing runs.
func (s *Step) Idle() bool { return len(s.attempts) == 0 && len(s.scoring) == 0 }
