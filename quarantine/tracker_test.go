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
	tracker := NewTracker()
	for _, fp := range []string{"poison", "x", "y"} {
		is.Equal(tracker.RecordDeath(start, death(fp, "t0", "b0", false)).Quarantined, false)
		is.True(tracker.IsSuspect(start, fp))
	}
	v := tracker.RecordDeath(start, death("poison", "t1", "b1", true))
	is.True(v.Quarantined)
	is.Equal(v.Cleared, []string{"x", "y"})
	_, quarantined := tracker.Quarantined(start, "poison")
	is.True(quarantined)
	is.Equal(tracker.IsSuspect(start, "x"), false)
	tracker.RecordDeath(start, death("z", "t1", "b1", false)) // it ran on the second target through another gate
	is.Equal(tracker.IsSuspect(start, "z"), false)
	_, quarantined = tracker.Quarantined(start.Add(TTL+time.Second), "poison")
	is.Equal(quarantined, false)
}

func TestDuplicateSharedAndClearedDeathsDoNotQuarantine(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	tracker.RecordDeath(start, death("x", "t0", "b0", true))
	is.Equal(tracker.RecordDeath(start, death("x", "t0", "b0", true)).Quarantined, false)  // the same death reported twice
	is.Equal(tracker.RecordDeath(start, death("x", "t1", "b1", false)).Quarantined, false) // not alone
	is.True(tracker.ClearSuspect("x"))
	is.Equal(tracker.RecordDeath(start, death("x", "t2", "b2", true)).Quarantined, false)
	is.Equal(tracker.IsSuspect(start.Add(SuspectTTL+time.Second), "x"), false)
}

func TestQuarantineCountIsBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for i := range maxQuarantined + 10 {
		tracker.AddQuarantine(start, wire.Quarantine{Fingerprint: string(rune(i)), Until: start.Add(time.Duration(i) * time.Second)})
	}
	is.True(len(tracker.quarantined) <= maxQuarantined)
}

func TestArbiterAllowsOneTrialPerRequestAndTarget(t *testing.T) {
	is := is.New(t)
	a := NewArbiter()
	is.True(a.BeginTrial(start, "x", "t0", "g0"))
	is.Equal(a.BeginTrial(start, "x", "t1", "g1"), false) // x has a trial already
	is.Equal(a.BeginTrial(start, "y", "t0", "g1"), false) // t0 has a trial already
	is.True(a.BeginTrial(start, "y", "t1", "g1"))
	a.EndTrial("x", "g1")
	is.Equal(a.BeginTrial(start, "x", "t2", "g1"), false) // only g0 can end the trial of x
	a.EndTrial("x", "g0")
	is.True(a.BeginTrial(start, "x", "t0", "g1"))
	is.True(a.BeginTrial(start.Add(TrialTTL+time.Second), "z", "t0", "g1"))
}

func TestTwoCandidatesOnOneDeadTargetAreNotQuarantined(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for _, fp := range []string{"poison", "innocent"} {
		tracker.RecordDeath(start, death(fp, "t0", "b0", false))
		tracker.RecordDeath(start, death(fp, "t1", "b1", false))
	}
	is.Equal(tracker.RecordDeath(start, death("innocent", "t1", "b1", true)).Quarantined, false)
	is.True(tracker.IsSuspect(start, "innocent")) // it must run alone again
	is.True(tracker.RecordDeath(start, death("poison", "t2", "b2", true)).Quarantined)
	is.Equal(tracker.IsSuspect(start, "innocent"), false)
}
