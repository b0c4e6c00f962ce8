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

func TestSecondDeathAloneQuarantinesAndClearsTheOthers(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	for _, fp := range []string{"poison", "x", "y"} {
		is.Equal(b.Death(start, death(fp, "t0", "b0", false)).Quarantined, false)
		is.True(b.Suspect(start, fp))
	}
	v := b.Death(start, death("poison", "t1", "b1", true))
	is.True(v.Quarantined)
	is.Equal(v.Cleared, []string{"x", "y"})
	_, barred := b.Barred(start, "poison")
	is.True(barred)
	is.Equal(b.Suspect(start, "x"), false)
	b.Death(start, death("z", "t1", "b1", false)) // it shared the second target through another gate
	is.Equal(b.Suspect(start, "z"), false)
	_, barred = b.Barred(start.Add(TTL+time.Second), "poison")
	is.Equal(barred, false)
}

func TestInnocentIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	b.Death(start, death("x", "t0", "b0", true))
	is.Equal(b.Death(start, death("x", "t0", "b0", true)).Quarantined, false)  // one death told twice
	is.Equal(b.Death(start, death("x", "t1", "b1", false)).Quarantined, false) // not alone
	is.True(b.Clear("x"))
	is.Equal(b.Death(start, death("x", "t2", "b2", true)).Quarantined, false)
	is.Equal(b.Suspect(start.Add(SuspectTTL+time.Second), "x"), false)
}

func TestBookIsBounded(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	for i := range maxBarred + 10 {
		b.Bar(start, wire.Quarantine{Fingerprint: string(rune(i)), Until: start.Add(time.Duration(i) * time.Second)})
	}
	is.True(len(b.barred) <= maxBarred)
}

func TestArbiterKeepsTrialsApart(t *testing.T) {
	is := is.New(t)
	a := NewArbiter()
	is.True(a.Begin(start, "x", "t0", "g0"))
	is.Equal(a.Begin(start, "x", "t1", "g1"), false) // one trial of a request
	is.Equal(a.Begin(start, "y", "t0", "g1"), false) // one trial on a target
	is.True(a.Begin(start, "y", "t1", "g1"))
	a.End("x", "g1")
	is.Equal(a.Begin(start, "x", "t2", "g1"), false) // only its gate ends it
	a.End("x", "g0")
	is.True(a.Begin(start, "x", "t0", "g1"))
	is.True(a.Begin(start.Add(TrialTTL+time.Second), "z", "t0", "g1"))
}

func TestTwoSuspectsOnOneDeadTargetProveNothing(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	for _, fp := range []string{"poison", "innocent"} {
		b.Death(start, death(fp, "t0", "b0", false))
		b.Death(start, death(fp, "t1", "b1", false))
	}
	is.Equal(b.Death(start, death("innocent", "t1", "b1", true)).Quarantined, false)
	is.True(b.Suspect(start, "innocent")) // it runs alone again
	is.True(b.Death(start, death("poison", "t2", "b2", true)).Quarantined)
	is.Equal(b.Suspect(start, "innocent"), false)
}
