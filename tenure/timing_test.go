package tenure

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSlowTimingKeepsItsTopicAndDelays covers a duty with records a second apart: with the default takeover time, each watching VM
// would take the holder for dead between two of its records.
func TestSlowTimingKeepsItsTopicAndDelays(t *testing.T) {
	is := is.New(t)
	m, c := &memoryLog{}, &clock{now: time.Hour}
	timing := Timing{Renew: time.Second, Takeover: 2300 * time.Millisecond, Watch: 2 * time.Second, Standby: 4 * time.Second}
	slow := func(machine string, standby bool) *Tenure {
		x := New(Options{Store: m, Topic: "usage-tenure", Timing: timing, Machine: machine, Process: machine + "/1", HandoverDelay: handover, Standby: standby,
			Clock: c.read, Log: slog.New(slog.DiscardHandler), OnChange: func() {}})
		x.takeoverDelay = 0
		return x
	}
	a, b, s := slow("a", false), slow("b", false), slow("s", true)
	is.Equal(a.partition.Topic, "usage-tenure")
	is.NoErr(step(a))
	is.True(held(a))
	for range 5 {
		pause, err := a.step(t.Context())
		is.NoErr(err)
		is.Equal(pause, timing.Renew)
		is.NoErr(step(b))
		is.NoErr(step(s))
		is.True(!held(b) && !held(s))
		is.Equal(b.watchTime(), timing.Watch) // long waits
		c.now += timing.Renew
	}
	is.Equal(b.watchTime(), timing.Takeover-timing.Renew) // but not beyond the time of a takeover
	c.now += timing.Takeover - timing.Renew - time.Millisecond
	is.NoErr(step(b))
	is.True(!held(b))
	c.now += time.Millisecond
	is.NoErr(step(s))
	is.True(!held(s))
	is.NoErr(step(b))
	is.True(held(b))
}
