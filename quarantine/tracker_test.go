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

func TestThreeDeathsQuarantineWithoutTrialAfterReportWindow(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	status := func(now time.Time) Status {
		j, _ := tracker.Decide(now, "poison")
		return j
	}
	is.Equal(status(start), StatusClear)
	for i, target := range []string{"t0", "t1", "t1", "t2"} { // the death of t1 is reported twice
		is.True(status(start) != StatusQuarantined)
		tracker.RecordDeath(start.Add(time.Duration(i)*time.Second), death("poison", target, "b", false))
	}
	third := start.Add(3 * time.Second)
	is.Equal(status(third.Add(ReportWindow-1)), StatusUndecided)
	is.Equal(status(third.Add(ReportWindow)), StatusQuarantined)
	is.Equal(status(third.Add(ReportWindow+TTL+time.Second)), StatusClear)
}

// Innocent requests are on the same targets as the one that crashes them, some more than once.
func TestInnocentRequestsBesideACrashAreNotQuarantined(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for i, target := range []string{"t0", "t1", "t2"} {
		now := start.Add(time.Duration(i) * time.Second)
		tracker.RecordDeath(now, death("poison", target, "b", false))
		tracker.RecordDeath(now, death("often", target, "b", false))
		tracker.RecordDeath(now, death("once-"+target, target, "b", false))
	}
	later := start.Add(10 * time.Second)
	for _, fp := range []string{"poison", "often", "once-t0"} { // either of two may be the cause
		j, _ := tracker.Decide(later, fp)
		is.Equal(j, StatusSuspect)
	}
	tracker.RecordDeath(later, death("poison", "t3", "b", false))
	later = later.Add(ReportWindow)
	j, q := tracker.Decide(later, "often")
	is.Equal(j, StatusSuspect)
	j, q = tracker.Decide(later, "poison")
	is.Equal(j, StatusQuarantined)
	is.Equal(q.Deaths, 4)
	for _, fp := range []string{"often", "once-t0", "once-t1", "once-t2"} {
		j, _ := tracker.Decide(later, fp)
		is.Equal(j, StatusClear) // the deaths are explained
	}
}

func TestForgottenDeathsDoNotCount(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for _, target := range []string{"t0", "t1", "t2"} {
		tracker.RecordDeath(start, death("x", target, "b", false))
	}
	tracker.ForgetDeath(death("x", "t1", "b", false))
	j, _ := tracker.Decide(start.Add(time.Second), "x")
	is.Equal(j, StatusSuspect)
	tracker.ForgetDeath(death("x", "t0", "b", false))
	tracker.ForgetDeath(death("x", "t2", "b", false))
	is.True(tracker.Empty())
}

// All targets of a pool crash three times, and a request that is sent again after each crash meets all three.
func TestCommonFailuresDoNotQuarantine(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for i := range 3 {
		at := start.Add(time.Duration(i) * 2 * time.Second)
		boot := string(rune('a' + i))
		tracker.RecordDeathAt(at, at, death("innocent", "t0", boot, false))
		for n, target := range []string{"t1", "t2", "t3"} {
			tracker.RecordDeathAt(at, at.Add(time.Duration(n)*10*time.Millisecond), death("other-"+target+boot, target, boot, false))
		}
	}
	later := start.Add(10 * time.Second)
	status, _ := tracker.Decide(later, "innocent")
	is.Equal(status, StatusSuspect)
	// Two targets that die together are no common failure: a request may be on one, another one on the other.
	for i, target := range []string{"x0", "x1", "x2"} {
		at := later.Add(time.Duration(i) * time.Second)
		tracker.RecordDeathAt(at, at, death("poison", target, "b", false))
		tracker.RecordDeathAt(at, at, death("by chance "+target, "y"+target, "b", false))
	}
	status, _ = tracker.Decide(later.Add(10*time.Second), "poison")
	is.Equal(status, StatusQuarantined)
}

// A request with an equal body each time is nearly always running, and so meets the crashes of two others.
func TestFrequentRequestBesideTwoCrashingOnesIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for fp, targets := range map[string][]string{
		"poison 1": {"t0", "t1", "t2"}, "poison 2": {"t3", "t4", "t5"}, "frequent": {"t1", "t4", "t5"},
	} {
		for _, target := range targets {
			tracker.RecordDeath(start, death(fp, target, "b", false))
		}
	}
	later := start.Add(ReportWindow)
	status, _ := tracker.Decide(later, "frequent") // it arrives first
	is.Equal(status, StatusSuspect)
	for _, fp := range []string{"poison 1", "poison 2"} {
		status, _ := tracker.Decide(later, fp)
		is.Equal(status, StatusQuarantined)
	}
	status, _ = tracker.Decide(later, "frequent")
	is.Equal(status, StatusClear)
}
