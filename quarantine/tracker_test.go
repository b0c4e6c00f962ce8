package quarantine

import (
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/wire"
	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

func death(fp, target, boot string, alone bool) wire.Death {
	return wire.Death{Fingerprint: fp, Target: target, Boot: boot, Alone: alone}
}

func TestSecondDeathDuringIsolatedRunQuarantinesAndClearsOthers(t *testing.T) {
	is := is.New(t)
	tracker := NewBook()
	for _, fp := range []string{"poison", "x", "y"} {
		is.Equal(tracker.Death(start, death(fp, "t0", "b0", false)).Quarantined, false)
		is.True(tracker.Suspect(start, fp))
	}
	v := tracker.Death(start, death("poison", "t1", "b1", true))
	is.True(v.Quarantined)
	is.Equal(v.Cleared, []string{"x", "y"})
	_, quarantined := tracker.Barred(start, "poison")
	is.True(quarantined)
	is.Equal(tracker.Suspect(start, "x"), false)
	tracker.Death(start, death("z", "t1", "b1", false)) // it ran on the second target through another gate
	is.Equal(tracker.Suspect(start, "z"), false)
	_, quarantined = tracker.Barred(start.Add(TTL+time.Second), "poison")
	is.Equal(quarantined, false)
}

func TestDuplicateSharedAndClearedDeathsDoNotQuarantine(t *testing.T) {
	is := is.New(t)
	tracker := NewBook()
	tracker.Death(start, death("x", "t0", "b0", true))
	is.Equal(tracker.Death(start, death("x", "t0", "b0", true)).Quarantined, false)  // the same death reported twice
	is.Equal(tracker.Death(start, death("x", "t1", "b1", false)).Quarantined, false) // not alone
	is.True(tracker.Clear("x"))
	is.Equal(tracker.Death(start, death("x", "t2", "b2", true)).Quarantined, false)
	is.Equal(tracker.Suspect(start.Add(SuspectTTL+time.Second), "x"), false)
}

func TestQuarantineCountIsBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewBook()
	for i := range maxQuarantined + 10 {
		tracker.Bar(start, wire.Quarantine{Fingerprint: string(rune(i)), Until: start.Add(time.Duration(i) * time.Second)})
	}
	is.True(len(tracker.quarantined) <= maxQuarantined)
}

func TestArbiterAllowsOneTrialPerRequestAndTarget(t *testing.T) {
	is := is.New(t)
	a := NewArbiter()
	is.True(a.Begin(start, "x", "t0", "g0"))
	is.Equal(a.Begin(start, "x", "t1", "g1"), false) // x has a trial already
	is.Equal(a.Begin(start, "y", "t0", "g1"), false) // t0 has a trial already
	is.True(a.Begin(start, "y", "t1", "g1"))
	a.End("x", "g1")
	is.Equal(a.Begin(start, "x", "t2", "g1"), false) // only g0 can end the trial of x
	a.End("x", "g0")
	is.True(a.Begin(start, "x", "t0", "g1"))
	is.True(a.Begin(start.Add(TrialTTL+time.Second), "z", "t0", "g1"))
}

func TestTwoCandidatesOnOneDeadTargetAreNotQuarantined(t *testing.T) {
	is := is.New(t)
	tracker := NewBook()
	for _, fp := range []string{"poison", "innocent"} {
		tracker.Death(start, death(fp, "t0", "b0", false))
		tracker.Death(start, death(fp, "t1", "b1", false))
	}
	is.Equal(tracker.Death(start, death("innocent", "t1", "b1", true)).Quarantined, false)
	is.True(tracker.Suspect(start, "innocent")) // it must run alone again
	is.True(tracker.Death(start, death("poison", "t2", "b2", true)).Quarantined)
	is.Equal(tracker.Suspect(start, "innocent"), false)
}
