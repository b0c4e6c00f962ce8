package rumor

import (
	"fmt"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/wire"
	"github.com/matryer/is"
)

var now = time.Unix(1_000_000, 0)

func fact(kind, key string, seq int64, ttl time.Duration) wire.Rumor {
	return wire.Rumor{Kind: kind, Key: key, Seq: seq, Expires: now.Add(ttl).UnixMilli()}
}

func TestLargerSeqWinsAndEntriesExpire(t *testing.T) {
	is := is.New(t)
	s := New()
	is.True(s.Put(now, fact(KindVersion, "m", 2, time.Minute)))
	is.True(!s.Put(now, fact(KindVersion, "m", 1, time.Hour)))
	is.True(s.Put(now, fact(KindVersion, "m", 3, time.Minute)))
	is.Equal(s.ByKind(KindVersion)[0].Seq, int64(3))
	is.True(!s.Put(now, fact(KindVersion, "n", 1, -time.Second)))
	is.True(!s.Put(now, fact(KindVersion, "n", 1, 2*MaxTTL))) // longer than MaxTTL
	s.Expire(now.Add(2 * time.Minute))
	is.Equal(s.Len(), 0)
}

func TestStoreIsBounded(t *testing.T) {
	is := is.New(t)
	s := New()
	for i := range MaxEntries {
		s.Put(now, fact(KindDeath, fmt.Sprint(i), 1, time.Hour))
	}
	is.True(!s.Put(now, fact(KindDeath, "short", 1, time.Minute)))
	is.True(s.Put(now, fact(KindDeath, "long", 1, 2*time.Hour)))
	is.Equal(s.Len(), MaxEntries)
}

func TestRumorIsSentALimitedNumberOfTimes(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Put(now, fact(KindVersion, "m", 1, time.Hour))
	is.True(s.TakeChanged())
	is.True(!s.TakeChanged())
	sent := 0
	for len(s.NextUpdates(true)) > 0 {
		sent++
	}
	is.Equal(sent, minSends+deploymentSizeBits)
}

func TestZoneOnlyKindsAreNotSentToOtherZones(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Put(now, fact(KindEngines, "p/a", 1, time.Hour))
	is.Equal(len(s.NextUpdates(false)), 0)
	is.Equal(s.Hash(false), New().Hash(false))
	is.True(s.Hash(true) != New().Hash(true))
	is.Equal(len(s.NextUpdates(true)), 1)
}

func TestBucketSyncMakesDifferingStoresEqual(t *testing.T) {
	is := is.New(t)
	a, b := New(), New()
	for i := range 100 {
		a.Put(now, fact(KindVersion, fmt.Sprint("a", i), 1, time.Hour))
		b.Put(now, fact(KindVersion, fmt.Sprint("b", i), 1, time.Hour))
	}
	rounds := 0
	for ; a.Hash(true) != b.Hash(true); rounds++ {
		is.True(rounds <= Buckets)
		buckets := a.DifferingBuckets(b.BucketHashes(true), true)[:1]
		sent := a.InBuckets(buckets, nil, true)
		reply := b.InBuckets(buckets, sent, true)
		b.Merge(now, sent)
		a.Merge(now, reply)
	}
	is.Equal(a.Len(), 200)
}

func deaths(s *Store, engine string, alone bool, fingerprints ...string) {
	for _, fp := range fingerprints {
		s.Put(now, NewDeath(now, wire.Death{Fingerprint: fp, Target: engine, Boot: "1", Alone: alone}))
	}
}

func TestQuarantineDecisions(t *testing.T) {
	type verdict struct{ quarantined, suspects int }
	for name, c := range map[string]struct {
		report func(s *Store)
		want   verdict
	}{
		"requests on a dead engine become suspects": {func(s *Store) { deaths(s, "e1", false, "poison", "x", "y") }, verdict{0, 3}},
		"second death while alone quarantines":      {func(s *Store) { deaths(s, "e1", false, "poison", "x"); deaths(s, "e2", true, "poison") }, verdict{1, 1}},
		"a request on two engines that die is only a suspect if it did not run alone": {func(s *Store) {
			deaths(s, "e1", false, "innocent", "x")
			deaths(s, "e2", false, "innocent", "y")
		}, verdict{0, 3}},
		"two requests on two engines that die are both suspects": {func(s *Store) {
			deaths(s, "e1", false, "poison", "x")
			deaths(s, "e2", false, "poison", "x")
		}, verdict{0, 2}},
		"a death reported by two gates counts once": {func(s *Store) { deaths(s, "e1", true, "poison"); deaths(s, "e1", true, "poison") }, verdict{0, 1}},
		"clearing removes earlier deaths": {func(s *Store) {
			deaths(s, "e1", false, "x")
			s.Put(now, NewCleared(now.Add(time.Second), "x"))
		}, verdict{0, 0}},
		"a death after the clearing counts": {func(s *Store) {
			s.Put(now, NewCleared(now.Add(-time.Second), "x"))
			deaths(s, "e1", false, "x")
		}, verdict{0, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New()
			c.report(s)
			quarantined, suspects := s.QuarantineState()
			is.Equal(verdict{len(quarantined), len(suspects)}, c.want)
		})
	}
}
