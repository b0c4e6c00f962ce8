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
	c := newCluster(2)
	a, b := c.processes[0], c.processes[1]
	for _, p := range c.processes {
		is.True(c.read(p.Manager, 1)) // the stream is empty
	}
	first, second := a.step(c), b.step(c)
	is.Equal(len(first), 1)
	is.Equal(len(second), 1)
	c.append(first[0])
	c.append(second[0])

	c.read(b.Manager, 2)
	_, ok := b.MayAct(c.now, testKey, true)
	is.Equal(ok, false)
	c.read(a.Manager, 2)
	token, ok := a.MayAct(c.now, testKey, false)
	is.True(ok)
	is.Equal(token, int64(1))
	l, held := c.reader.Holder(testKey)
	is.True(held)
	is.Equal(l.Holder, a.name)
	is.Equal(l.Offset, trial.Offset(1))
}
