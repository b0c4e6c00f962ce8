package rollout

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/ibistrail/ibistrail/api"
	"github.com/matryer/is"
)

func TestValidateRejectsInvalidSpec(t *testing.T) {
	cases := []struct {
		name string
		edit func(*api.StepSpec)
		code api.Code
	}{
		{"no id", func(s *api.StepSpec) { s.ID = "" }, api.CodeBadRequest},
		{"slash in id", func(s *api.StepSpec) { s.ID = "a/b" }, api.CodeBadRequest},
		{"no groups", func(s *api.StepSpec) { s.Groups = nil }, api.CodeBadRequest},
		{"group twice", func(s *api.StepSpec) { s.Groups[1].ID = s.Groups[0].ID }, api.CodeBadRequest},
		{"no samples", func(s *api.StepSpec) { s.Groups[0].Samples = 0 }, api.CodeBadRequest},
		{"negative samples", func(s *api.StepSpec) { s.Groups[0].Samples = -1 }, api.CodeBadRequest},
		{"too many slots", func(s *api.StepSpec) { s.Groups[0].Samples = MaxSlots; s.Groups[1].Samples = 1 }, api.CodeTooLarge},
		{"too many groups", func(s *api.StepSpec) { s.Groups = make([]api.Group, MaxGroups+1) }, api.CodeTooLarge},
		{"long prompt", func(s *api.StepSpec) { s.Groups[0].Prompt = strings.Repeat("x", MaxPromptBytes+1) }, api.CodeTooLarge},
		{"no tokens", func(s *api.StepSpec) { s.MaxTokens = 0 }, api.CodeBadRequest},
		{"bound above the route's", func(s *api.StepSpec) { s.StalenessBound = 5 }, api.CodeBadRequest},
		{"timeout above the route's", func(s *api.StepSpec) { s.TimeoutMs = 60_001 }, api.CodeBadRequest},
		{"cursor outside", func(s *api.StepSpec) { s.Held = api.Cursor{0xff} }, api.CodeBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			spec := testSpec(2, 2, "")
			is.True(Validate(&spec, testRoute()) == nil)
			c.edit(&spec)
			err := Validate(&spec, testRoute())
			is.True(err != nil)
			is.Equal(err.Code, c.code)
		})
	}
}

func FuzzStepSpec(f *testing.F) {
	raw, _ := json.Marshal(testSpec(2, 2, "judge"))
	f.Add(raw)
	f.Add([]byte(`{"id":"s","groups":[{"id":"a","prompt":"p","samples":9223372036854775807},{"id":"b","prompt":"p","samples":1}]}`))
	f.Add([]byte(`{"id":"s","groups":null,"held":"//8="}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var spec api.StepSpec
		if json.Unmarshal(raw, &spec) != nil || Validate(&spec, testRoute()) != nil {
			return
		}
		s := newTestStep(spec)
		if s.Slots() != spec.Slots() || s.Slots() < 1 || s.Slots() > MaxSlots {
			t.Fatalf("step has %d slots, which is out of range or differs from its specification", s.Slots())
		}
		if n := len(startedAttempts(s.Handle(testStart, Tick{Capacity: 8}))); n != min(8, s.Slots()-spec.Held.Count()) {
			t.Fatalf("%d attempts started for %d slots of which %d are held", n, s.Slots(), spec.Held.Count())
		}
	})
}

func FuzzCursor(f *testing.F) {
	f.Add([]byte{}, 1)
	f.Add([]byte{0x01}, 4)
	f.Add([]byte{0xff, 0x01}, 9)
	f.Add([]byte{0x00, 0x00, 0x00}, 4)
	f.Fuzz(func(t *testing.T, raw []byte, slots int) {
		slots = 1 + (slots%64+64)%64
		c := api.Cursor(raw)
		if ValidCursor(c, slots) != nil {
			return
		}
		s := newTestStep(testSpec(1, slots, ""))
		s.Handle(testStart, PullReceived{Cursor: c, TrainerVersion: 3})
		for _, a := range startedAttempts(s.Handle(testStart, Tick{Capacity: MaxWindow})) {
			if c.Has(a.Slot) {
				t.Fatalf("slot %d was started although the cursor names it", a.Slot)
			}
			s.Handle(testStart, answerWithVersion(a.ID, 3))
		}
		for _, sm := range s.Collect(c, 3, 0).Samples {
			if c.Has(sm.Slot) {
				t.Fatalf("slot %d was delivered although the cursor names it", sm.Slot)
			}
		}
	})
}
