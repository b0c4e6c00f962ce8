package lease

import (
	"testing"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/matryer/is"
)

// Two contenders append a record with the same Prev. The first record in the log wins for all
// readers, and the other contender may not act.
func TestFirstOfTwoConflictingAppendsWins(t *testing.T) {
	is := is.New(t)
	w := newCluster(2)
	a, b := w.processes[0], w.processes[1]
	for _, p := range w.processes {
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
