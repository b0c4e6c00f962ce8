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

// memoryLog is an in-memory log of one partition.
type memoryLog struct {
	store.Log
	records [][]byte
	// loseResponse makes the next append take effect but return errNoAnswer; unavailable makes all calls fail.
	loseResponse, unavailable bool
}

var errNoResponse = errors.New("no answer")

func (m *memoryLog) Read(_ context.Context, _ store.Partition, from int64, _ time.Duration, _ int) (store.Batch, error) {
	if m.unavailable {
		return store.Batch{}, store.ErrUnavailable
	}
	return store.Batch{From: from, Records: m.records[from:], End: int64(len(m.records))}, nil
}

func (m *memoryLog) AppendAt(_ context.Context, _ store.Partition, end int64, records [][]byte) (int64, error) {
	if m.unavailable {
		return 0, store.ErrUnavailable
	}
	if end != int64(len(m.records)) {
		return 0, &store.ConflictError{End: int64(len(m.records))}
	}
	m.records = append(m.records, records...)
	if m.loseResponse {
		m.loseResponse = false
		return 0, errNoResponse
	}
	return end, nil
}

// clock is a manual clock.
type clock struct{ now time.Duration }

func (c *clock) read() time.Duration { return c.now }

const handover = 3 * time.Second

func newTenure(m *memoryLog, c *clock, machine string, standby bool) *Tenure {
	t := New(Options{
		Store: m, Machine: machine, Process: machine + "/1", HandoverDelay: handover, Standby: standby, Clock: c.read,
		Log: slog.New(slog.DiscardHandler), OnChange: func() {},
	})
	t.takeoverDelay = 0
	return t
}

func held(t *Tenure) bool { _, ok := t.Held(); return ok }

func step(t *Tenure) error {
	_, err := t.step(context.Background())
	return err
}

func TestCandidateTakesOverAfterSilenceOnly(t *testing.T) {
	is := is.New(t)
	m, c := &memoryLog{}, &clock{now: time.Hour}
	a, b := newTenure(m, c, "a", false), newTenure(m, c, "b", false)
	is.NoErr(step(a))
	is.True(held(a))
	for range 10 {
		is.NoErr(step(a))
		is.NoErr(step(b))
		c.now += renewInterval
		is.True(!held(b)) // the holder renews its tenure
	}
	c.now += takeoverTimeout
	is.NoErr(step(b))
	is.True(held(b))
	ta, _ := a.Held()
	tb, _ := b.Held()
	is.True(tb > ta)
	is.True(errors.Is(step(a), ErrNotHeld)) // the predecessor's next append conflicts
	is.True(!held(a))
}

func TestSuccessorWaitsForHandoverBeforeOrdering(t *testing.T) {
	is := is.New(t)
	m, c := &memoryLog{}, &clock{now: time.Hour}
	a, b := newTenure(m, c, "a", false), newTenure(m, c, "b", false)
	is.NoErr(step(a))
	is.NoErr(a.BeginWave(t.Context()))
	is.True(a.MaySend())
	lastSend := c.now + orderWindow // end of a's order window
	is.NoErr(step(b))
	c.now += takeoverTimeout
	is.NoErr(step(b))
	is.True(held(b))
	is.True(errors.Is(a.BeginWave(t.Context()), ErrNotHeld))
	for b.BeginWave(t.Context()) != nil {
		c.now += 10 * time.Millisecond
	}
	is.True(c.now-lastSend >= handover)
	is.True(c.now-lastSend < handover+takeoverTimeout+orderWindow) // not much later than needed
}

// TestOverlappingWavesAreAllAllowedFor covers two senders of one holder that begin waves in turn, as weight versions and targets are
// ordered under the same tenure: a wave extends the time in which orders of the other may be sent, and a successor waits for the end.
func TestOverlappingWavesAreAllAllowedFor(t *testing.T) {
	is := is.New(t)
	m, c := &memoryLog{}, &clock{now: time.Hour}
	a, b := newTenure(m, c, "a", false), newTenure(m, c, "b", false)
	is.NoErr(step(a))
	is.NoErr(step(b))
	is.NoErr(a.BeginWave(t.Context()))
	firstEnds := c.now + orderWindow
	c.now += orderWindow / 2
	is.NoErr(a.BeginWave(t.Context()))
	c.now = firstEnds
	is.True(a.MaySend())
	m.unavailable = true
	is.True(a.BeginWave(t.Context()) != nil) // a third wave that is not recorded allows nothing
	m.unavailable = false
	lastSend := c.now
	for ; a.MaySend(); c.now += time.Millisecond {
		lastSend = c.now
	}
	is.True(lastSend < firstEnds+orderWindow/2)
	is.NoErr(step(b)) // reads the records of the waves
	c.now += takeoverTimeout
	is.NoErr(step(b))
	is.True(held(b))
	for b.BeginWave(t.Context()) != nil {
		c.now += 10 * time.Millisecond
	}
	is.True(c.now-lastSend >= handover)
	is.True(!a.MaySend())
}

func TestSuspendedHolderMayNotSendAfterOrderWindow(t *testing.T) {
	is := is.New(t)
	m, c := &memoryLog{}, &clock{now: time.Hour}
	a := newTenure(m, c, "a", false)
	is.NoErr(step(a))
	is.NoErr(a.BeginWave(t.Context()))
	c.now += orderWindow // suspended between its record and its order
	is.True(!a.MaySend())
}

func TestLostAppendResponseKeepsTheTenure(t *testing.T) {
	is := is.New(t)
	m, c := &memoryLog{}, &clock{now: time.Hour}
	a := newTenure(m, c, "a", false)
	is.NoErr(step(a))
	m.loseResponse = true
	is.Equal(step(a), errNoResponse)
	is.NoErr(step(a)) // the conflict is with its own record
	is.True(held(a))
	token, _ := a.Held()
	is.Equal(token, int64(1))
	m.loseResponse = true
	is.True(a.BeginWave(t.Context()) != nil)
	is.True(!a.MaySend()) // orders need a confirmed record
	is.NoErr(a.BeginWave(t.Context()))
	is.True(a.MaySend())
}

func TestStoreOutageKeepsTheTenure(t *testing.T) {
	is := is.New(t)
	m, c := &memoryLog{}, &clock{now: time.Hour}
	a, b := newTenure(m, c, "a", false), newTenure(m, c, "b", false)
	is.NoErr(step(a))
	is.NoErr(step(b))
	m.unavailable = true
	c.now += time.Minute
	is.True(step(a) != nil)
	is.True(step(b) != nil)
	is.True(held(a) && !held(b))
	is.True(a.BeginWave(t.Context()) != nil) // orders need the store
	m.unavailable = false
	is.NoErr(step(a))
	is.NoErr(step(b))
	is.True(held(a) && !held(b))
}

// TestOutageEndsWithoutATakeover replays days of Trinacria: when the store answered again after 7 s, a candidate that had heard of no
// renewal all the while was quicker than the holder, and all that ran was begun again.
func TestOutageEndsWithoutATakeover(t *testing.T) {
	is := is.New(t)
	m, c := &memoryLog{}, &clock{now: time.Hour}
	a, b := newTenure(m, c, "a", false), newTenure(m, c, "b", false)
	is.NoErr(step(a))
	is.NoErr(step(b))
	m.unavailable = true
	for range 10 {
		c.now += callTimeout
		is.True(step(a) != nil)
		is.True(step(b) != nil)
	}
	m.unavailable = false
	is.NoErr(step(b)) // the candidate is the first to reach the store again
	is.True(!held(b))
	c.now += callTimeout + lostCallDelay
	is.NoErr(step(b))
	is.True(!held(b))
	is.NoErr(step(a))
	is.True(held(a))
	// A holder that was lost in the outage is succeeded.
	for range 4 {
		c.now += takeoverTimeout / 2
		is.NoErr(step(b))
	}
	is.True(held(b))
}

func TestReleasedTenureIsAcquiredImmediately(t *testing.T) {
	is := is.New(t)
	m, c := &memoryLog{}, &clock{now: time.Hour}
	a, b := newTenure(m, c, "a", false), newTenure(m, c, "b", false)
	is.NoErr(step(a))
	is.NoErr(step(b))
	a.Release(t.Context())
	is.NoErr(step(b))
	is.True(held(b))
	is.NoErr(step(a))
	is.True(!held(a)) // released tenures aren't acquired again
}

func TestStandbyAcquiresOnlyAfterStandbyTimeout(t *testing.T) {
	is := is.New(t)
	m, c := &memoryLog{}, &clock{now: time.Hour}
	small, large := newTenure(m, c, "small", true), newTenure(m, c, "large", false)
	is.NoErr(step(small))
	is.True(!held(small))
	is.NoErr(step(large))
	is.True(held(large))
	is.NoErr(step(small))
	c.now += standbyTimeout
	is.NoErr(step(small))
	is.True(held(small))
}

// restart returns the tenure of a new process on the same machine.
func restart(t *Tenure) *Tenure {
	opts := t.opts
	opts.Process += "+"
	return New(opts)
}

// TestRestartedHolderContinuesAtOnce replays a kill of all VMs: they start together, and the former holder neither waits
// for its own silence nor for its own orders.
func TestRestartedHolderContinuesAtOnce(t *testing.T) {
	is := is.New(t)
	m, c := &memoryLog{}, &clock{now: time.Hour}
	a, b := newTenure(m, c, "a", false), newTenure(m, c, "b", false)
	is.NoErr(step(a))
	is.NoErr(a.BeginWave(t.Context()))
	a, b = restart(a), restart(b)
	is.NoErr(step(b))
	is.True(!held(b))
	is.NoErr(step(a))
	is.True(held(a))
	is.NoErr(a.BeginWave(t.Context()))
	is.True(a.MaySend())
}

// TestRestartedHolderWaitsForOrdersOfOtherVMs covers a holder that took over from another VM and restarted before it might
// send orders: the delay since the other VM's orders still holds.
func TestRestartedHolderWaitsForOrdersOfOtherVMs(t *testing.T) {
	is := is.New(t)
	m, c := &memoryLog{}, &clock{now: time.Hour}
	a, b := newTenure(m, c, "a", false), newTenure(m, c, "b", false)
	is.NoErr(step(a))
	is.NoErr(a.BeginWave(t.Context()))
	lastSend := c.now + orderWindow
	is.NoErr(step(b))
	c.now += takeoverTimeout
	is.NoErr(step(b))
	is.True(held(b))
	for range 3 { // restarts again and again
		b = restart(b)
		is.NoErr(step(b))
		is.True(held(b))
		is.True(errors.Is(b.BeginWave(t.Context()), ErrNotHeld))
	}
	for b.BeginWave(t.Context()) != nil {
		c.now += 10 * time.Millisecond
	}
	is.True(c.now-lastSend >= handover)
}

// TestOneLostResponseDoesNotEndTheTenure checks the timing: a holder whose append got no response is heard of again before
// any candidate takes over.
func TestOneLostResponseDoesNotEndTheTenure(t *testing.T) {
	is.New(t).True(renewInterval+callTimeout+lostCallDelay < takeoverTimeout)
}
