package lease

import (
	"testing"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/matryer/is"
)

// Two contenders that replace the same record: the first in the log holds, also for a reader that
// sees the second one first in time, and the loser may not act.
func TestOfTwoContendersTheFirstInTheLogHolds(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	a, b := w.procs[0], w.procs[1]
	for _, p := range w.procs {
		is.True(w.read(p.Manager, 1)) // the stream is empty
	}
	first, second := a.step(w), b.step(w)
	is.Equal(len(first), 1)
	is.Equal(len(second), 1)
	w.append(first[0])
	w.append(second[0])

	w.read(b.Manager, 2)
	_, ok := b.May(w.now, testKey, true)
	is.Equal(ok, false)
	w.read(a.Manager, 2)
	token, ok := a.May(w.now, testKey, false)
	is.True(ok)
	is.Equal(token, int64(1))
	l, held := w.reader.Holder(testKey)
	is.True(held)
	is.Equal(l.Holder, a.name)
	is.Equal(l.Offset, trial.Offset(1))
}
