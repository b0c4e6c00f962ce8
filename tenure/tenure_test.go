package tenure

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/store"
)

// memory is a log of one partition.
type memory struct {
	store.Log
	records [][]byte
	// lose carries the next append out without telling, late appends after the caller gave up.
	lose, down bool
}

var errNoAnswer = errors.New("no answer")

func (m *memory) Read(_ context.Context, _ store.Partition, from int64, _ time.Duration, _ int) (store.Batch, error) {
	if m.down {
		return store.Batch{}, store.ErrUnavailable
	}
	return store.Batch{From: from, Records: m.records[from:], End: int64(len(m.records))}, nil
}

func (m *memory) AppendAt(_ context.Context, _ store.Partition, end int64, records [][]byte) (int64, error) {
	if m.down {
		return 0, store.ErrUnavailable
	}
	if end != int64(len(m.records)) {
		return 0, &store.ConflictError{End: int64(len(m.records))}
	}
	m.records = append(m.records, records...)
	if m.lose {
		m.lose = false
		return 0, errNoAnswer
	}
	return end, nil
}

// clock is a clock that tests move.
type clock struct{ now time.Duration }

func (c *clock) read() time.Duration { return c.now }

const handover = 3 * time.Second

func holder(m *memory, c *clock, machine string, standby bool) *Tenure {
	t := New(Options{
		Store: m, Machine: machine, Process: machine + "/1", Handover: handover, Standby: standby, Clock: c.read,
		Log: slog.New(slog.DiscardHandler), Changed: func() {},
	})
	t.delay = 0
	return t
}

func held(t *Tenure) bool { _, ok := t.Held(); return ok }

// step advances a tenure as its loop does.
func step(t *Tenure) error {
	_, err := t.step(context.Background())
	return err
}

func TestCandidateTakesOverAfterSilenceOnly(t *testing.T) {
	is := is.New(t)
	m, c := &memory{}, &clock{now: time.Hour}
	a, b := holder(m, c, "a", false), holder(m, c, "b", false)
	is.NoErr(step(a))
	is.True(held(a))
	for range 10 {
		is.NoErr(step(a))
		is.NoErr(step(b))
		c.now += renewEvery
		is.True(!held(b)) // the holder's records go on
	}
	c.now += silence
	is.NoErr(step(b))
	is.True(held(b))
	ta, _ := a.Held()
	tb, _ := b.Held()
	is.True(tb > ta)
	is.True(errors.Is(step(a), ErrNotHeld)) // the predecessor finds out at its next record
	is.True(!held(a))
}

func TestOrdersOfTwoHoldersAreApart(t *testing.T) {
	is := is.New(t)
	m, c := &memory{}, &clock{now: time.Hour}
	a, b := holder(m, c, "a", false), holder(m, c, "b", false)
	is.NoErr(step(a))
	is.NoErr(a.Begin(t.Context()))
	is.True(a.MaySend())
	last := c.now + orderWindow // the latest that a may send
	is.NoErr(step(b))
	c.now += silence
	is.NoErr(step(b))
	is.True(held(b))
	is.True(errors.Is(a.Begin(t.Context()), ErrNotHeld))
	for b.Begin(t.Context()) != nil {
		c.now += 10 * time.Millisecond
	}
	is.True(c.now-last >= handover)
	is.True(c.now-last < handover+silence+orderWindow) // and not much longer
}

func TestFrozenHolderSendsNothingLate(t *testing.T) {
	is := is.New(t)
	m, c := &memory{}, &clock{now: time.Hour}
	a := holder(m, c, "a", false)
	is.NoErr(step(a))
	is.NoErr(a.Begin(t.Context()))
	c.now += orderWindow // it was suspended between its record and its order
	is.True(!a.MaySend())
}

func TestLostAnswerKeepsTheTenure(t *testing.T) {
	is := is.New(t)
	m, c := &memory{}, &clock{now: time.Hour}
	a := holder(m, c, "a", false)
	is.NoErr(step(a))
	m.lose = true
	is.Equal(step(a), errNoAnswer)
	is.NoErr(step(a)) // its own record stands in the way
	is.True(held(a))
	token, _ := a.Held()
	is.Equal(token, int64(1))
	m.lose = true
	is.True(a.Begin(t.Context()) != nil)
	is.True(!a.MaySend()) // nothing is sent on a record that was not answered
	is.NoErr(a.Begin(t.Context()))
	is.True(a.MaySend())
}

func TestOutageEndsNoTenure(t *testing.T) {
	is := is.New(t)
	m, c := &memory{}, &clock{now: time.Hour}
	a, b := holder(m, c, "a", false), holder(m, c, "b", false)
	is.NoErr(step(a))
	is.NoErr(step(b))
	m.down = true
	c.now += time.Minute
	is.True(step(a) != nil)
	is.True(step(b) != nil)
	is.True(held(a) && !held(b))
	is.True(a.Begin(t.Context()) != nil) // but orders wait
	m.down = false
	is.NoErr(step(a))
	is.NoErr(step(b))
	is.True(held(a) && !held(b))
}

func TestReleasedTenureIsTakenAtOnce(t *testing.T) {
	is := is.New(t)
	m, c := &memory{}, &clock{now: time.Hour}
	a, b := holder(m, c, "a", false), holder(m, c, "b", false)
	is.NoErr(step(a))
	is.NoErr(step(b))
	a.Release(t.Context())
	is.NoErr(step(b))
	is.True(held(b))
	is.NoErr(step(a))
	is.True(!held(a)) // it has stopped
}

func TestStandbyWaitsForOthers(t *testing.T) {
	is := is.New(t)
	m, c := &memory{}, &clock{now: time.Hour}
	small, large := holder(m, c, "small", true), holder(m, c, "large", false)
	is.NoErr(step(small))
	is.True(!held(small))
	is.NoErr(step(large))
	is.True(held(large))
	is.NoErr(step(small))
	c.now += standbySilence
	is.NoErr(step(small))
	is.True(held(small))
}
