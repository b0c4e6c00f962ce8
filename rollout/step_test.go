package rollout

import (
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func testSpec(groups, samples int, scorer string) api.StepSpec {
	spec := api.StepSpec{ID: "s", Route: "train", MaxTokens: 64, Seed: 7, StalenessBound: 1, TrainerVersion: 3, Scorer: scorer}
	for g := range groups {
		spec.Groups = append(spec.Groups, api.Group{ID: string(rune('a' + g)), Prompt: "p", Samples: samples})
	}
	return spec
}

func newTestStep(spec api.StepSpec) *Step {
	s := NewStep(StepOptions{Spec: spec, Prefix: "x", Deadline: start.Add(24 * time.Hour), Hedging: true})
	return s
}

func good(id AttemptID, version int64) Answered {
	return Answered{ID: id, Text: "t", Tokens: []int{1, 2}, Spans: []api.Span{{Version: version, Tokens: 2}}}
}

func starts(effects []Effect) []StartAttempt {
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
		answer Answered
		ready  bool
	}{
		{"fresh", good("", 3), true},
		{"at the bound", good("", 2), true},
		{"stale", good("", 1), false},
		{"one stale span", Answered{Tokens: []int{1, 2}, Spans: []api.Span{{Version: 3, Tokens: 1}, {Version: 1, Tokens: 1}}}, false},
		{"unreported", good("", 0), false},
		{"part unreported", Answered{Tokens: []int{1, 2}, Spans: []api.Span{{Version: 3, Tokens: 1}}}, false},
		{"empty", Answered{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStep(testSpec(1, 1, ""))
			first := starts(s.Handle(start, Ticked{Capacity: 8}))
			is.Equal(len(first), 1)
			c.answer.ID = first[0].ID
			s.Handle(start, c.answer)
			s.Handle(start, c.answer) // answered twice
			got := s.Collect(nil, 3, 0)
			is.Equal(len(got.Samples) == 1, c.ready)
			if !c.ready {
				is.Equal(len(starts(s.Handle(start.Add(MaxBackoff), Ticked{Capacity: 8}))) == 1 || len(s.attempts) == 1, true) // runs again
			}
		})
	}
}

func TestTrainerMovedOnDiscardsQueuedSample(t *testing.T) {
	is := is.New(t)
	s := newTestStep(testSpec(1, 1, ""))
	a := starts(s.Handle(start, Ticked{Capacity: 8}))[0]
	s.Handle(start, good(a.ID, 3))
	is.Equal(len(s.Collect(nil, 5, 0).Samples), 0) // too old for this pull
	again := starts(s.Handle(start, Pulled{TrainerVersion: 5}))
	is.Equal(len(again), 1)
	is.Equal(again[0].MinVersion, int64(4))
}

func TestRunningAttemptThatCannotArriveFreshIsCancelled(t *testing.T) {
	is := is.New(t)
	s := newTestStep(testSpec(1, 1, ""))
	a := starts(s.Handle(start, Ticked{Capacity: 8}))[0]
	s.Handle(start, Ticked{Capacity: 8, Progress: []Progress{{ID: a.ID, Tokens: 1, Oldest: 3, Last: start}}})
	effects := s.Handle(start, Pulled{TrainerVersion: 5})
	is.True(cancelled(effects, a.ID))
	is.Equal(len(starts(effects)), 1)
}

func TestWholeGroupsOnly(t *testing.T) {
	is := is.New(t)
	s := newTestStep(testSpec(2, 2, ""))
	a := starts(s.Handle(start, Ticked{Capacity: 8}))
	is.Equal(len(a), 4)
	s.Handle(start, good(a[0].ID, 3))
	s.Handle(start, good(a[2].ID, 3))
	is.Equal(len(s.Collect(nil, 3, 0).Samples), 0)
	s.Handle(start, good(a[3].ID, 3))
	got := s.Collect(nil, 3, 0)
	is.Equal(len(got.Samples), 2)
	is.Equal(got.Samples[0].Group, "b")
	is.Equal(s.Collect(nil, 3, 0).Samples, got.Samples) // repeats until the cursor moves
	is.Equal(got.Remaining, 2)
}

func TestLargeAnswersComeInParts(t *testing.T) {
	is := is.New(t)
	s := newTestStep(testSpec(3, 2, ""))
	half := make([]int, MaxAnswerBytes/bytesPerToken/2)
	for _, a := range starts(s.Handle(start, Ticked{Capacity: 8})) {
		tokens := half
		if a.Slot >= 4 { // group c is larger than an answer by itself
			tokens = append(half, half...)
		}
		s.Handle(start, Answered{ID: a.ID, Tokens: tokens, Spans: []api.Span{{Version: 3, Tokens: len(tokens)}}})
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

func TestRefusalShrinksWindowAndWaits(t *testing.T) {
	is := is.New(t)
	s := newTestStep(testSpec(1, 20, ""))
	a := starts(s.Handle(start, Ticked{Capacity: 10}))
	is.Equal(len(a), 10)
	refused := &api.Error{Code: api.CodeOverloaded, RetryAfter: time.Second}
	is.Equal(len(starts(s.Handle(start, Answered{ID: a[0].ID, Err: refused}))), 0)
	is.Equal(len(starts(s.Handle(start.Add(900*time.Millisecond), Ticked{Capacity: 10}))), 0)
	for _, x := range a[1:] {
		s.Handle(start, good(x.ID, 3))
	}
	is.Equal(len(starts(s.Handle(start.Add(time.Second), Ticked{Capacity: 10}))), 7) // 7 of 10 after a refusal
}

func TestStragglerIsMovedWithItsTokens(t *testing.T) {
	is := is.New(t)
	s := newTestStep(testSpec(1, 8, ""))
	a := starts(s.Handle(start, Ticked{Capacity: 8}))
	now := start.Add(200 * time.Millisecond)
	for _, x := range a[1:] {
		s.Handle(now, good(x.ID, 3))
	}
	s.Handle(now, Ticked{Capacity: 8, Progress: []Progress{{ID: a[0].ID, Tokens: 1, Oldest: 3, Last: now}}})
	is.Equal(s.Counts.Hedged, int64(0))
	now = now.Add(3 * time.Second)
	twin := starts(s.Handle(now, Ticked{Capacity: 8}))
	is.Equal(len(twin), 1)
	is.Equal(twin[0].From, a[0].ID)
	effects := s.Handle(now, good(twin[0].ID, 3))
	is.True(cancelled(effects, a[0].ID))
	s.Handle(now, good(a[0].ID, 3)) // late
	is.Equal(s.Counts.Late, int64(1))
	is.Equal(len(s.Collect(nil, 3, 0).Samples), 8)
}

func TestRefusedForGoodIsReported(t *testing.T) {
	is := is.New(t)
	s := newTestStep(testSpec(2, 1, ""))
	a := starts(s.Handle(start, Ticked{Capacity: 8}))
	s.Handle(start, Answered{ID: a[0].ID, Err: &api.Error{Code: api.CodeBadRequest, Message: "no"}})
	s.Handle(start, good(a[1].ID, 3))
	got := s.Collect(nil, 3, 0)
	is.Equal(len(got.Samples), 1)
	is.Equal(got.Failed, []api.FailedSlot{{Slot: 0, Group: "a", Code: api.CodeBadRequest, Message: "no"}})
}

// trainerModel is the trainer's side of the state machine test: it holds what it was given.
type trainerModel struct {
	step    *Step
	now     time.Time
	version int64
	held    api.Cursor
	live    []StartAttempt
	scores  []StartScore
	past    []Answered // answers that may come again
}

func (m *trainerModel) handle(msg Message) {
	for _, e := range m.step.Handle(m.now, msg) {
		switch e := e.(type) {
		case StartAttempt:
			m.live = append(m.live, e)
		case StartScore:
			m.scores = append(m.scores, e)
		}
	}
}

// check verifies an answer to a pull against the promises.
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
			t.Fatalf("slot %d has score %v", s.Slot, s.Score)
		}
		seen[s.Slot] = true
	}
	for _, g := range m.step.groups {
		for i := g.first; i < g.first+g.n; i++ {
			if seen[i] != seen[g.first] && !cursor.Has(i) && !cursor.Has(g.first) {
				t.Fatalf("group %s is split", g.id)
			}
		}
	}
	if resp.Remaining != m.step.Slots()-cursor.Count()-len(resp.Samples) {
		t.Fatalf("remaining %d", resp.Remaining)
	}
}

func (m *trainerModel) answer(t *rapid.T) {
	if len(m.live) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.live)-1).Draw(t, "attempt")
	a := good(m.live[i].ID, max(0, m.version-rapid.Int64Range(0, 3).Draw(t, "age")))
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		a.Err = &api.Error{Code: api.CodeTargetFailed}
	case 1:
		a.Err = &api.Error{Code: api.CodeOverloaded, RetryAfter: time.Second}
	case 2:
		a.Spans = []api.Span{{Version: a.Spans[0].Version, Tokens: 1}, {Version: 0, Tokens: 1}}
	}
	if rapid.Bool().Draw(t, "answers again later") {
		m.past = append(m.past, a)
	} else {
		m.live = append(m.live[:i], m.live[i+1:]...)
	}
	m.handle(a)
}

func (m *trainerModel) score(t *rapid.T) {
	if len(m.scores) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.scores)-1).Draw(t, "score")
	s := Scored{ID: m.scores[i].ID, Score: float64(m.scores[i].Sample.Slot) + 1}
	if rapid.Bool().Draw(t, "scorer fails") {
		s = Scored{ID: s.ID, Err: &api.Error{Code: api.CodeTargetFailed}}
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
	m.handle(Pulled{Cursor: cursor, TrainerVersion: m.version})
	resp := m.step.Collect(cursor, m.version, rapid.IntRange(0, 4).Draw(t, "max"))
	m.check(t, resp, cursor)
	if rapid.Bool().Draw(t, "answer arrives") {
		m.take(resp)
	}
}

func (m *trainerModel) take(resp *api.PullResponse) {
	for _, s := range resp.Samples {
		m.held = m.held.With(s.Slot)
	}
}

// finish answers everything well until the trainer holds each slot.
func (m *trainerModel) finish(t *rapid.T) {
	for round := 0; m.held.Count() < m.step.Slots(); round++ {
		if round > 4*m.step.Slots()+20 {
			t.Fatalf("slots are lost: held %d of %d", m.held.Count(), m.step.Slots())
		}
		m.now = m.now.Add(MaxBackoff)
		m.handle(Ticked{Capacity: 8, Newest: m.version})
		for len(m.live) > 0 {
			a := m.live[0]
			m.live = m.live[1:]
			m.handle(good(a.ID, m.version))
		}
		for len(m.scores) > 0 {
			s := m.scores[0]
			m.scores = m.scores[1:]
			m.handle(Scored{ID: s.ID, Score: float64(s.Sample.Slot) + 1})
		}
		m.handle(Pulled{Cursor: m.held, TrainerVersion: m.version})
		resp := m.step.Collect(m.held, m.version, 0)
		m.check(t, resp, m.held)
		m.take(resp)
	}
}

func TestStepStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scorer := rapid.SampledFrom([]string{"", "score"}).Draw(t, "scorer")
		spec := testSpec(rapid.IntRange(1, 4).Draw(t, "groups"), rapid.IntRange(1, 4).Draw(t, "samples"), scorer)
		m := &trainerModel{step: newTestStep(spec), now: start, version: spec.TrainerVersion}
		t.Repeat(map[string]func(*rapid.T){
			"answer": m.answer,
			"score":  m.score,
			"pull":   m.pull,
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				m.handle(Ticked{Capacity: rapid.IntRange(0, 12).Draw(t, "capacity"), Newest: m.version})
			},
			"publish": func(t *rapid.T) { m.version += rapid.Int64Range(0, 2).Draw(t, "versions") },
			"again": func(t *rapid.T) {
				if len(m.past) > 0 {
					m.handle(m.past[rapid.IntRange(0, len(m.past)-1).Draw(t, "late")])
				}
			},
			"import": func(t *rapid.T) {
				slot := rapid.IntRange(-1, m.step.Slots()).Draw(t, "slot")
				m.handle(Imported{Samples: []api.Sample{{
					Slot: slot, Tokens: []int{1}, Score: float64(slot) + 1,
					Spans: []api.Span{{Version: max(0, m.version-rapid.Int64Range(0, 3).Draw(t, "age")), Tokens: 1}},
				}}})
			},
			"": func(t *rapid.T) {
				if n := len(m.step.attempts); n > MaxWindow {
					t.Fatalf("%d attempts in flight", n)
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
