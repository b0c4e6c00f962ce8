package rollout

import (
	"fmt"
	"time"

	"github.com/ibistrail/ibistrail/api"
)

type slotState int

// The states of a slot. Only ready samples are delivered; the sample of a held slot is already with the trainer.
const (
	slotPending slotState = iota
	slotRunning
	slotScoring
	slotReady
	slotHeld
	slotFailed
)

// slot is the state of one sample to generate.
type slot struct {
	state           slotState
	group           int
	notBefore       time.Time
	failures        int
	attemptsStarted int
	running         []*attempt
	// sample, sampleAttempt and oldestVersion are set while a sample is stored, in slotScoring and slotReady.
	sample         *api.Sample
	sampleAttempt  AttemptID
	oldestVersion  int64
	scoreFailures  int
	scoreNotBefore time.Time
	// partial is the output of a failed attempt, which the next attempt continues.
	partial *AttemptEnded
	failed  *api.FailedSlot
}

// attempt is a running attempt to generate the sample of a slot.
type attempt struct {
	id            AttemptID
	slot          int
	startedAt     time.Time
	lastTokenAt   time.Time
	firstTokenAt  time.Time
	tokens        int
	oldestVersion int64
	// continued is the number of tokens that came from an earlier attempt.
	continued int
	// prevMark and lastMark are two earlier points of its progress, at least markInterval apart.
	prevMark, lastMark progressMark
}

// progressMark is the number of tokens that an attempt had at a given time.
type progressMark struct {
	at     time.Time
	tokens int
}

type group struct {
	id        string
	prompt    string
	firstSlot int
	samples   int
}

// StepOptions configures a Step.
type StepOptions struct {
	Spec api.StepSpec
	// Prefix is the prefix of all attempt IDs; it must be unique to this run of the step.
	Prefix   string
	Deadline time.Time
	// Hedging enables a second attempt for stragglers.
	Hedging bool
	// History holds the estimates of an earlier step of the trainer; nil means none.
	History *History
}

// History holds a step's estimates of the pool, with which the next step of the trainer starts.
type History struct {
	stats  stats
	window window
}

// Step is the state machine of one step. It does no I/O: Handle takes a message and returns effects. The first
// complete and fresh result fills a slot; later results of other attempts on the slot are dropped.
type Step struct {
	opts     StepOptions
	groups   []group
	slots    []slot
	attempts map[AttemptID]*attempt
	// scoring maps the attempts whose samples are being scored to their slots.
	scoring map[AttemptID]int
	// trainerVersion is the version that the trainer reported last.
	trainerVersion int64
	pace           pace
	newestVersion  int64
	window         window
	// notBefore delays all new attempts after the pool has refused one.
	notBefore time.Time
	stats     stats
	hedges    int
	// firstNotHeld is a lower bound of the slots that are not held; all slots before it are held.
	firstNotHeld int
	Counts       Counts
}

// Counts counts the outcomes of a step's attempts.
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
	// WastedTokens is the number of tokens that were generated and then discarded.
	WastedTokens int64 `json:"wasted_tokens"`
}

// NewStep returns a step whose slots are all pending, except those in opts.Spec.Held.
func NewStep(opts StepOptions) *Step {
	s := &Step{
		opts: opts, attempts: map[AttemptID]*attempt{}, scoring: map[AttemptID]int{},
		trainerVersion: opts.Spec.TrainerVersion, window: newWindow(),
	}
	if opts.History != nil {
		s.stats, s.window = opts.History.stats.clone(), opts.History.window
	}
	for i, g := range opts.Spec.Groups {
		s.groups = append(s.groups, group{id: g.ID, prompt: g.Prompt, firstSlot: len(s.slots), samples: g.Samples})
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

// Handle processes one message and returns the effects for the caller to execute. It panics on an unknown message type.
func (s *Step) Handle(now time.Time, m Message) []Effect {
	var effects []Effect
	switch m := m.(type) {
	case PullReceived:
		effects = s.handlePull(now, m)
	case Tick:
		s.newestVersion = max(s.newestVersion, m.NewestVersion)
		s.window.setMax(m.Capacity)
		for _, p := range m.Progress {
			effects = append(effects, s.handleProgress(p)...)
		}
		s.window.adjust(now, s.stats.typical().duration)
		effects = append(effects, s.start(now)...)
		return append(effects, s.hedge(now)...)
	case AttemptEnded:
		effects = s.handleAttemptEnded(now, m)
	case ScoreEnded:
		effects = s.handleScoreEnded(now, m)
	case SamplesImported:
		effects = s.handleSamplesImported(m)
	default:
		panic(fmt.Sprintf("rollout: unknown message type %T", m))
	}
	return append(effects, s.start(now)...)
}

// History returns a copy of the step's estimates for the next step.
func (s *Step) History() *History { return &History{stats: s.stats.clone(), window: s.window} }

// Slots returns the number of slots.
func (s *Step) Slots() int { return len(s.slots) }

// TrainerVersion returns the version that the trainer reported last.
func (s *Step) TrainerVersion() int64 { return s.trainerVersion }

// minFreshVersion returns the oldest weight version that a sample may contain for a trainer at version.
func (s *Step) minFreshVersion(version int64) int64 { return version - s.opts.Spec.StalenessBound }

// handlePull applies the trainer's cursor, which is authoritative: slots in it become held, and held slots that are
// missing from it were lost by the trainer and become pending again.
func (s *Step) handlePull(now time.Time, m PullReceived) []Effect {
	var effects []Effect
	s.pace.observe(now, m.TrainerVersion)
	s.trainerVersion = m.TrainerVersion
	for i := range s.slots {
		sl := &s.slots[i]
		switch held := m.Cursor.Has(i); {
		case held && sl.state != slotHeld:
			effects = append(effects, s.clearSlot(sl)...)
			sl.state = slotHeld
		case !held && sl.state == slotHeld:
			sl.state = slotPending
			s.firstNotHeld = 0
		}
	}
	return append(effects, s.dropStale()...)
}

// dropStale discards samples and cancels attempts that are too old for the trainer's version.
func (s *Step) dropStale() []Effect {
	var effects []Effect
	minVersion := s.minFreshVersion(s.trainerVersion)
	for i := range s.slots {
		sl := &s.slots[i]
		if sl.sample != nil && sl.oldestVersion < minVersion {
			s.Counts.Stale++
			s.Counts.WastedTokens += int64(len(sl.sample.Tokens))
			effects = append(effects, s.clearSlot(sl)...)
			sl.state = slotPending
			continue
		}
		for _, a := range append([]*attempt(nil), sl.running...) {
			if a.oldestVersion > 0 && a.oldestVersion < minVersion {
				effects = append(effects, s.cancel(a))
			}
		}
		s.requeueIfIdle(sl)
	}
	return effects
}

// clearSlot discards the sample and partial output of a slot and cancels its attempts and score call.
func (s *Step) clearSlot(sl *slot) []Effect {
	var effects []Effect
	for _, a := range append([]*attempt(nil), sl.running...) {
		effects = append(effects, s.cancel(a))
	}
	if _, ok := s.scoring[sl.sampleAttempt]; ok {
		delete(s.scoring, sl.sampleAttempt)
		effects = append(effects, CancelAttempt{ID: sl.sampleAttempt})
	}
	sl.sample, sl.sampleAttempt, sl.oldestVersion, sl.scoreFailures, sl.partial = nil, "", 0, 0, nil
	return effects
}

// cancel removes an attempt and returns the effect that cancels it; a result that still arrives is dropped.
func (s *Step) cancel(a *attempt) Effect {
	s.Counts.Cancelled++
	s.Counts.WastedTokens += int64(a.tokens - a.continued)
	s.removeAttempt(a)
	return CancelAttempt{ID: a.id}
}

func (s *Step) removeAttempt(a *attempt) {
	delete(s.attempts, a.id)
	sl := &s.slots[a.slot]
	for i, r := range sl.running {
		if r == a {
			sl.running = append(sl.running[:i], sl.running[i+1:]...)
			break
		}
	}
}

// requeueIfIdle sets a running slot without attempts back to pending.
func (s *Step) requeueIfIdle(sl *slot) {
	if sl.state == slotRunning && len(sl.running) == 0 {
		sl.state = slotPending
	}
}

func (s *Step) handleProgress(m Progress) []Effect {
	a := s.attempts[m.ID]
	if a == nil {
		return nil
	}
	if m.Tokens > a.tokens {
		a.tokens, a.firstTokenAt, a.lastTokenAt = m.Tokens, m.FirstTokenAt, m.LastTokenAt
		a.recordMark()
	}
	a.oldestVersion = m.OldestVersion
	if a.oldestVersion > 0 && a.oldestVersion < s.minFreshVersion(s.trainerVersion) {
		s.Counts.Stale++
		e := s.cancel(a)
		s.requeueIfIdle(&s.slots[a.slot])
		return []Effect{e}
	}
	return nil
}

// Close cancels all attempts and score calls.
func (s *Step) Close() []Effect {
	var effects []Effect
	for i := range s.slots {
		effects = append(effects, s.clearSlot(&s.slots[i])...)
	}
	return effects
}

// Idle reports whether no attempt or score call is running.
func (s *Step) Idle() bool { return len(s.attempts) == 0 && len(s.scoring) == 0 }
