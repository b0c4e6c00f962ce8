package batch

import (
	"testing"

	"github.com/matryer/is"
)

func TestTypicalLagOfRecentSteps(t *testing.T) {
	step := func(newest, oldestAccepted int64) *Head {
		return &Head{NewestVersion: newest, MinVersion: oldestAccepted}
	}
	for _, tc := range []struct {
		name  string
		steps []*Head
		want  int64
	}{
		{"no step", nil, 0},
		{"only the first version exists", []*Head{step(1, 1), step(1, 1)}, 0},
		{"the first steps of a run do not hide the lag", []*Head{step(3, 2), step(2, 1), step(1, 1), step(1, 1)}, 1},
		{"no lag is accepted", []*Head{step(4, 4), step(3, 3), step(2, 2)}, 0},
		{"a VM did not know the newest version yet", []*Head{step(5, 5), step(5, 4), step(4, 3)}, 1},
		{"a step came after the next version was named", []*Head{step(5, 3), step(5, 4), step(4, 3)}, 1},
		{"a lag of two", []*Head{step(7, 5), step(6, 4), step(5, 3)}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(typicalLag(tc.steps), tc.want)
		})
	}
}
