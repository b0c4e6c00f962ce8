package logservice

import (
	"time"

	"github.com/ibistrail/ibistrail/trial"
)

// stream is one stream of records with consecutive offsets.
type stream struct {
	records     []trial.Record
	appendTimes []time.Time // append time of each record
	next        trial.Offset
	// appended is closed and replaced when records are appended.
	appended chan struct{}
}

func newStream() *stream { return &stream{next: 1, appended: make(chan struct{})} }

// append appends records, wakes up waiting reads, and returns the offset of the first record.
func (s *stream) append(now time.Time, records []trial.NewRecord) trial.Offset {
	first := s.next
	for _, r := range records {
		s.records = append(s.records, trial.Record{Offset: s.next, ID: r.ID, Data: r.Data})
		s.appendTimes = append(s.appendTimes, now)
		s.next++
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

// expire deletes records that are older than retention; 0 keeps all.
func (s *stream) expire(now time.Time, retention time.Duration) {
	if retention <= 0 {
		return
	}
	n := 0
	for n < len(s.appendTimes) && now.Sub(s.appendTimes[n]) > retention {
		n++
	}
	s.deleteOldest(n)
}

// deleteOldest deletes the n oldest records.
func (s *stream) deleteOldest(n int) {
	s.records = append([]trial.Record(nil), s.records[n:]...)
	s.appendTimes = append([]time.Time(nil), s.appendTimes[n:]...)
}

// first returns the oldest retained offset, or next if there is none.
func (s *stream) first() trial.Offset {
	if len(s.records) == 0 {
		return s.next
	}
	return s.records[0].Offset
}

// read returns at most limit records, starting at offset from or at the oldest retained one.
func (s *stream) read(from trial.Offset, limit int) []trial.Record {
	i := int(max(0, from-s.first()))
	if i >= len(s.records) {
		return nil
	}
	return s.records[i:min(len(s.records), i+limit)]
}
