package logservice

import (
	"time"

	"github.com/ibistrail/ibistrail/trial"
)

// stream is one stream of records: offsets without gaps, the oldest dropped after the retention.
type stream struct {
	records []trial.Record
	times   []time.Time // of records, the same length
	next    trial.Offset
	// grown is closed when a record is appended.
	grown chan struct{}
}

func newStream() *stream { return &stream{next: 1, grown: make(chan struct{})} }

// append adds records and returns the offset of the first.
func (s *stream) append(now time.Time, records []trial.NewRecord) trial.Offset {
	first := s.next
	for _, r := range records {
		s.records = append(s.records, trial.Record{Offset: s.next, ID: r.ID, Data: r.Data})
		s.times = append(s.times, now)
		s.next++
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return first
}

// expire drops records that are older than retention; 0 keeps all.
func (s *stream) expire(now time.Time, retention time.Duration) {
	if retention <= 0 {
		return
	}
	n := 0
	for n < len(s.times) && now.Sub(s.times[n]) > retention {
		n++
	}
	s.drop(n)
}

// drop forgets the n oldest records.
func (s *stream) drop(n int) {
	s.records = append([]trial.Record(nil), s.records[n:]...)
	s.times = append([]time.Time(nil), s.times[n:]...)
}

// first returns the oldest retained offset, or next if there is none.
func (s *stream) first() trial.Offset {
	if len(s.records) == 0 {
		return s.next
	}
	return s.records[0].Offset
}

// read returns at most limit records from offset from on.
func (s *stream) read(from trial.Offset, limit int) []trial.Record {
	i := int(max(0, from-s.first()))
	if i >= len(s.records) {
		return nil
	}
	return s.records[i:min(len(s.records), i+limit)]
}
