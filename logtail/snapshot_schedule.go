package logtail

import (
	"math/rand/v2"
	"time"
)

const (
	// renewMinShare and renewShareSpread set when a node appends the next snapshot, as shares of the
	// log's retention: the minimum delay, and the range of a random delay added to it. The random
	// delay differs between nodes, so that usually only one of them appends.
	renewMinShare    = 0.25
	renewShareSpread = 0.2
	// renewRetryShare is the minimum delay before retrying an append that was not read back, as a
	// share of the retention; the maximum is twice that.
	renewRetryShare = 0.02
	// nearExpiryShare is the share of the retention after which a state that may lack a change of a
	// newer format is appended too, since apparently no node of the newer release is doing so.
	nearExpiryShare = 0.7
)

// SnapshotSchedule schedules the appends of snapshots, or of other records, that must remain in the log beyond
// its retention. It reads no clock.
type SnapshotSchedule struct {
	rng            *rand.Rand
	dueAt          time.Time
	lastSnapshotAt time.Time // when the newest snapshot was read; before that, the time of the first Due
}

// NewSnapshotSchedule returns a schedule whose random delays are derived from seed.
func NewSnapshotSchedule(seed uint64) *SnapshotSchedule {
	return &SnapshotSchedule{rng: rand.New(rand.NewPCG(seed, 1))}
}

// RecordSnapshot records that a snapshot was read at now, shortly after its append, and schedules the next one.
func (s *SnapshotSchedule) RecordSnapshot(now time.Time, retention time.Duration) {
	s.lastSnapshotAt = now
	s.dueAt = now.Add(scale(retention, renewMinShare+renewShareSpread*s.rng.Float64()))
}

// Due reports whether to append a snapshot now. After it returned true, the next append is due after
// 2 to 4 percent of the retention unless RecordSnapshot is called. A retention of 0 means that the
// log keeps records forever; nothing is due then.
func (s *SnapshotSchedule) Due(now time.Time, retention time.Duration) bool {
	if retention <= 0 {
		return false
	}
	if s.dueAt.IsZero() { // the age of the newest snapshot is not known
		s.lastSnapshotAt = now
		s.dueAt = now.Add(scale(retention, renewShareSpread*s.rng.Float64()))
	}
	if now.Before(s.dueAt) {
		return false
	}
	s.dueAt = now.Add(scale(retention, renewRetryShare*(1+s.rng.Float64())))
	return true
}

// NearExpiry reports whether the newest snapshot is so old that it may expire soon.
func (s *SnapshotSchedule) NearExpiry(now time.Time, retention time.Duration) bool {
	return retention > 0 && !s.lastSnapshotAt.IsZero() && now.Sub(s.lastSnapshotAt) >= scale(retention, nearExpiryShare)
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }
