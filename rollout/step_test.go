package rollout

import (
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_000_000, 0)

func testSpec(groups, samples int, scorer string) api.StepSpec {
	spec := api.StepSpec{ID: "s", Route: "train", MaxTokens: 64, Seed: 7, StalenessBound: 1, TrainerVersion: 3, Scorer: scorer}
	for g := range groups {
		spec.Groups = append(spec.Groups, api.Group{ID: string(rune('a' + g)), Prompt: "p", Samples: samples})
	}
	return spec
}

func newTestStep(spec api.StepSpec) *Step {
	s := NewStep(StepOptions{Spec: spec, Prefix: "x", Deadline: testStart.Add(24 * time.Hour), Hedging: true})
	return s
}

func answerWithVersion(id AttemptID, version int64) AttemptEnded {
	return AttemptEnded{ID: id, Text: "t", Tokens: []int{1, 2}, Spans: []api.Span{{Version: version, Tokens: 2}}}
}

func startedAttempts(effects []Effect) []StartAttempt {
	var out []StartAttempt
	for _, e := range effects {
		if a, ok := e.(StartAttempt); ok {
			out = append(out, a)
		}
	}
	return out
}

func cancelled(effects []Effect, id AttemptID) bool {
	for _, e := range effects {
		if c, ok := e.(CancelAttempt); ok && c.ID == id {
			return true
		}
	}
	return false
}

func TestAnswerFillsSlotOnce(t *testing.T) {
	cases := []struct {
		name   string
		answer AttemptEnded
		ready  bool
	}{
		{"fresh", answerWithVersion("", 3), true},
		{"at the bound", answerWithVersion("", 2), true},
		{"stale", answerWithVersion("", 1), false},
		{"one stale span", AttemptEnded{Tokens: []int{1, 2}, Spans: []api.Span{{Version: 3, Tokens: 1}, {Version: 1, Tokens: 1}}}, false},
		{"unreported", answerWithVersion("", 0), false},
		{"part unreported", AttemptEnded{Tokens: []int{1, 2}, Spans: []api.Span{{Version: 3, Tokens: 1}}}, false},
		{"empty", AttemptEnded{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStep(testSpec(1, 1, ""))
			first := startedAttempts(s.Handle(testStart, Tick{Capacity: 8}))
			is.Equal(len(first), 1)
			c.answer.ID = first[0].ID
			s.Handle(testStart, c.answer)
			s.Handle(testStart, c.answer) // a duplicate result is dropped
			got := s.Collect(nil, 3, 0)
			is.Equal(len(got.Samples) == 1, c.ready)
			if !c.ready {
				is.Equal(len(startedAttempts(s.Handle(testStart.Add(MaxBackoff), Tick{Capacity: 8}))) == 1 || len(s.attempts) == 1, true) // the slot is retried
			}
		})
	}
}

func TestNewTrainerVersionDiscardsStaleSample(t *testing.T) {
	is := is.New(t)
	s := newTestStep(testSpec(1, 1, ""))
	a := startedAttempts(s.Handle(testStart, Tick{Capacity: 8}))[0]
	s.Handle(testStart, answerWithVersion(a.ID, 3))
	is.Equal(len(s.Collect(nil, 5, 0).Samples), 0) // too old for trainer version 5
	restarted := startedAttempts(s.Handle(testStart, PullReceived{TrainerVersion: 5}))
	is.Equal(len(restarted), 1)
	is.Equal(restarted[0].MinVersion, int64(4))
}

func TestNewTrainerVersionCancelsStaleAttempt(t *testing.T) {
	is := is.New(t)
	s := newTestStep(testSpec(1, 1, ""))
	a := startedAttempts(s.Handle(testStart, Tick{Capacity: 8}))[0]
	s.Handle(testStart, Tick{Capacity: 8, Progress: []Progress{{ID: a.ID, Tokens: 1, OldestVersion: 3, LastTokenAt: testStart}}})
	effects := s.Handle(testStart, PullReceived{TrainerVersion: 5})
	is.True(cancelled(effects, a.ID))
	is.Equal(len(startedAttempts(effects)), 1)
}

func TestCollectReturnsOnlyCompleteGroups(t *testing.T) {
	is := is.New(t)
	s := newTestStep(testSpec(2, 2, ""))
	a := startedAttempts(s.Handle(testStart, Tick{Capacity: 8}))
	is.Equal(len(a), 4)
	s.Handle(testStart, answerWithVersion(a[0].ID, 3))
	s.Handle(testStart, answerWithVersion(a[2].ID, 3))
	is.Equal(len(s.Collect(nil, 3, 0).Samples), 0)
	s.Handle(testStart, answerWithVersion(a[3].ID, 3))
	got := s.Collect(nil, 3, 0)
	is.Equal(len(got.Samples), 2)
	is.Equal(got.Samples[0].Group, "b")
	is.Equal(s.Collect(nil, 3, 0).Samples, got.Samples) // the same result until the cursor advances
	is.Equal(got.Remaining, 2)
}

func TestCollectSplitsLargeResponses(t *testing.T) {
	is := is.New(t)
	s := newTestStep(testSpec(3, 2, ""))
	half := make([]int, MaxAnswerBytes/bytesPerToken/2)
	for _, a := range startedAttempts(s.Handle(testStart, Tick{Capacity: 8})) {
		tokens := half
		if a.Slot >= 4 { // group c alone exceeds MaxAnswerBytes
			tokens = append(half, half...)
		}
		s.Handle(testStart, AttemptEnded{ID: a.ID, Tokens: tokens, Spans: []api.Span{{Version: 3, Tokens: len(tokens)}}})
	}
	var held api.Cursor
	var sizes []int
	for held.Count() < s.Slots() {
		got := s.Collect(held, 3, 0).Samples
		is.True(len(got) > 0)
		sizes = append(sizes, len(got))
		for _, sm := range got {
			is.True(!held.Has(sm.Slot))
			held = held.With(sm.Slot)
		}
	}
	is.Equal(sizes, []int{1, 1, 1, 1, 1, 1})
}

func TestRefusalShrinksWindowAndDelaysStarts(t *testing.T) {
	is := is.New(t)
	s := newTestStep(testSpec(1, 20, ""))
	a := startedAttempts(s.Handle(testStart, Tick{Capacity: 10}))
	is.Equal(len(a), 10)
	refused := &api.Error{Code: api.CodeOverloaded, RetryAfter: time.Second}
	is.Equal(len(startedAttempts(s.Handle(testStart, AttemptEnded{ID: a[0].ID, Err: refused}))), 0)
	is.Equal(len(startedAttempts(s.Handle(testStart.Add(900*time.Millisecond), Tick{Capacity: 10}))), 0)
	for _, x := range a[1:] {
		s.Handle(testStart, answerWithVersion(x.ID, 3))
	}
	is.Equal(len(startedAttempts(s.Handle(testStart.Add(time.Second), Tick{Capacity: 10}))), 7) // a refusal shrinks the window from 10 to 7
}

func TestStragglerIsHedgedFromItsTokens(t *testing.T) {
	is := is.New(t)
	s := newTestStep(testSpec(1, 8, ""))
	a := startedAttempts(s.Handle(testStart, Tick{Capacity: 8}))
	now := testStart.Add(200 * time.Millisecond)
	for _, x := range a[1:] {
		s.Handle(now, answerWithVersion(x.ID, 3))
	}
	s.Handle(now, Tick{Capacity: 8, Progress: []Progress{{ID: a[0].ID, Tokens: 1, OldestVersion: 3, LastTokenAt: now}}})
	is.Equal(s.Counts.Hedged, int64(0))
	now = now.Add(3 * time.Second)
	hedge := startedAttempts(s.Handle(now, Tick{Capacity: 8}))
	is.Equal(len(hedge), 1)
	is.Equal(hedge[0].ContinueFrom, a[0].ID)
	effects := s.Handle(now, answerWithVersion(hedge[0].ID, 3))
	is.True(cancelled(effects, a[0].ID))
	s.Handle(now, answerWithVersion(a[0].ID, 3)) // the cancelled attempt still answers
	is.Equal(s.Counts.Late, int64(1))
	is.Equal(len(s.Collect(nil, 3, 0).Samples), 8)
}

func TestPermanentErrorIsReportedAsFailedSlot(t *testing.T) {
	is := is.New(t)
	s := newTestStep(testSpec(2, 1, ""))
	a := startedAttempts(s.Handle(testStart, Tick{Capacity: 8}))
	s.Handle(testStart, AttemptEnded{ID: a[0].ID, Err: &api.Error{Code: api.CodeBadRequest, Message: "no"}})
	s.Handle(testStart, answerWithVersion(a[1].ID, 3))
	got := s.Collect(nil, 3, 0)
	is.Equal(len(got.Samples), 1)
	is.Equal(got.Failed, []api.FailedSlot{{Slot: 0, Group: "a", Code: api.CodeBadRequest, Message: "no"}})
}

// trainerModel is the trainer in TestStepStateMachine, with the attempts and score calls that the step started.
type trainerModel struct {
	step       *Step
	now        time.Time
	version    int64
	held       api.Cursor
	running    []StartAttempt
	scores     []StartScore
	repeatable []AttemptEnded // results that may be delivered a second time
}

func (m *trainerModel) handle(msg Message) {
	for _, e := range m.step.Handle(m.now, msg) {
		switch e := e.(type) {
		case StartAttempt:
			m.running = append(m.running, e)
		case StartScore:
			m.scores = append(m.scores, e)
		}
	}
}

// check verifies a pull response: no slot twice, no stale or unscored sample, no split group.
func (m *trainerModel) check(t *rapid.T, resp *api.PullResponse, cursor api.Cursor) {
	seen := map[int]bool{}
	for _, s := range resp.Samples {
		oldest, reported := oldestVersion(s.Tokens, s.Spans)
		if seen[s.Slot] || cursor.Has(s.Slot) {
			t.Fatalf("slot %d delivered twice", s.Slot)
		}
		if !reported || oldest < m.version-m.step.opts.Spec.StalenessBound {
			t.Fatalf("slot %d is stale: %v at version %d", s.Slot, s.Spans, m.version)
		}
		if m.step.opts.Spec.Scorer != "" && s.Score != float64(s.Slot)+1 {
			t.Fatalf("slot %d has score %v, want slot + 1", s.Slot, s.Score)
		}
		seen[s.Slot] = true
	}
	for _, g := range m.step.groups {
		for i := g.firstSlot; i < g.firstSlot+g.samples; i++ {
			if seen[i] != seen[g.firstSlot] && !cursor.Has(i) && !cursor.Has(g.firstSlot) {
				t.Fatalf("group %s is delivered in part", g.id)
			}
		}
	}
	if resp.Remaining != m.step.Slots()-cursor.Count()-len(resp.Samples) {
		t.Fatalf("response says %d slots remaining", resp.Remaining)
	}
}

func (m *trainerModel) answer(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "attempt")
	a := answerWithVersion(m.running[i].ID, max(0, m.version-rapid.Int64Range(0, 3).Draw(t, "age")))
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		a.Err = &api.Error{Code: api.CodeTargetFailed}
	case 1:
		a.Err = &api.Error{Code: api.CodeOverloaded, RetryAfter: time.Second}
	case 2:
		a.Spans = []api.Span{{Version: a.Spans[0].Version, Tokens: 1}, {Version: 0, Tokens: 1}}
	}
	if rapid.Bool().Draw(t, "answers again later") {
		m.repeatable = append(m.repeatable, a)
	} else {
		m.running = append(m.running[:i], m.running[i+1:]...)
	}
	m.handle(a)
}

func (m *trainerModel) score(t *rapid.T) {
	if len(m.scores) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.scores)-1).Draw(t, "score")
	s := ScoreEnded{ID: m.scores[i].ID, Score: float64(m.scores[i].Sample.Slot) + 1}
	if rapid.Bool().Draw(t, "scorer fails") {
		s = ScoreEnded{ID: s.ID, Err: &api.Error{Code: api.CodeTargetFailed}}
	}
	m.handle(s)
}

func (m *trainerModel) pull(t *rapid.T) {
	cursor := append(api.Cursor(nil), m.held...)
	if rapid.Bool().Draw(t, "arbitrary cursor") {
		cursor = nil
		for i := range m.step.Slots() {
			if rapid.Bool().Draw(t, "bit") {
				cursor = cursor.With(i)
			}
		}
	}
	m.handle(PullReceived{Cursor: cursor, TrainerVersion: m.version})
	resp := m.step.Collect(cursor, m.version, rapid.IntRange(0, 4).Draw(t, "max"))
	m.check(t, resp, cursor)
	if rapid.Bool().Draw(t, "answer arrives") {
		m.receive(resp)
	}
}

func (m *trainerModel) receive(resp *api.PullResponse) {
	for _, s := range resp.Samples {
		m.held = m.held.With(s.Slot)
	}
}

// finish lets every attempt and score call succeed until the trainer holds every slot.
func (m *trainerModel) finish(t *rapid.T) {
	for round := 0; m.held.Count() < m.step.Slots(); round++ {
		if round > 4*m.step.Slots()+20 {
			t.Fatalf("trainer does not receive all slots: it holds %d of %d", m.held.Count(), m.step.Slots())
		}
		m.now = m.now.Add(MaxBackoff)
		m.handle(Tick{Capacity: 8, NewestVersion: m.version})
		for len(m.running) > 0 {
			a := m.running[0]
			m.running = m.running[1:]
			m.handle(answerWithVersion(a.ID, m.version))
		}
		for len(m.scores) > 0 {
			s := m.scores[0]
			m.scores = m.scores[1:]
			m.handle(ScoreEnded{ID: s.ID, Score: float64(s.Sample.Slot) + 1})
		}
		m.handle(PullReceived{Cursor: m.held, TrainerVersion: m.version})
		resp := m.step.Collect(m.held, m.version, 0)
		m.check(t, resp, m.held)
		m.receive(resp)
	}
}

func TestStepStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scorer := rapid.SampledFrom([]string{"", "score"}).Draw(t, "scorer")
		spec := testSpec(rapid.IntRange(1, 4).Draw(t, "groups"), rapid.IntRange(1, 4).Draw(t, "samples"), scorer)
		m := &trainerModel{step: newTestStep(spec), now: testStart, version: spec.TrainerVersion}
		t.Repeat(map[string]func(*rapid.T){
			"answer": m.answer,
			"score":  m.score,
			"pull":   m.pull,
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				m.handle(Tick{Capacity: rapid.IntRange(0, 12).Draw(t, "capacity"), NewestVersion: m.version})
			},
			"publish": func(t *rapid.T) { m.version += rapid.Int64Range(0, 2).Draw(t, "versions") },
			"again": func(t *rapid.T) {
				if len(m.repeatable) > 0 {
					m.handle(m.repeatable[rapid.IntRange(0, len(m.repeatable)-1).Draw(t, "late")])
				}
			},
			"import": func(t *rapid.T) {
				slot := rapid.IntRange(-1, m.step.Slots()).Draw(t, "slot")
				m.handle(SamplesImported{Samples: []api.Sample{{
					Slot: slot, Tokens: []int{1}, Score: float64(slot) + 1,
					Spans: []api.Span{{Version: max(0, m.version-rapid.Int64Range(0, 3).Draw(t, "age")), Tokens: 1}},
				}}})
			},
			"": func(t *rapid.T) {
				if n := len(m.step.attempts); n > MaxWindow {
					t.Fatalf("%d attempts in flight exceed MaxWindow", n)
				}
				for i := range m.step.slots {
					sl := &m.step.slots[i]
					if (sl.state == slotRunning) != (len(sl.running) > 0) || (sl.sample != nil) != (sl.state == slotReady || sl.state == slotScoring) {
						t.Fatalf("slot %d in state %d has %d attempts, sample %v", i, sl.state, len(sl.running), sl.sample)
					}
				}
			},
		})
		m.finish(t)
	})
}
