package origins

import (
	"context"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/store"
)

// memoryStore is a store of one log and one compacted topic that keeps all records.
type memoryStore struct {
	mu      sync.Mutex
	down    bool
	records [][]byte
	keyed   []store.KeyedRecord
}

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *memoryStore) lock() (unlock func(), err error) {
	s.mu.Lock()
	if s.down {
		err = store.ErrUnavailable
	}
	return s.mu.Unlock, err
}

func (s *memoryStore) Append(_ context.Context, _ store.Partition, records [][]byte) (int64, error) {
	unlock, err := s.lock()
	defer unlock()
	if err == nil {
		s.records = append(s.records, records...)
	}
	return 0, err
}

func (s *memoryStore) AppendAt(context.Context, store.Partition, int64, [][]byte) (int64, error) {
	panic("not used")
}

func (s *memoryStore) Trim(context.Context, store.Partition, int64) error { panic("not used") }

func (s *memoryStore) Read(_ context.Context, _ store.Partition, from int64, _ time.Duration, _ int) (store.Batch, error) {
	unlock, err := s.lock()
	defer unlock()
	end := int64(len(s.records))
	return store.Batch{From: from, Records: s.records[min(from, end):], End: end}, err
}

func (s *memoryStore) AppendKeyed(_ context.Context, _ string, records []store.KeyedRecord) error {
	unlock, err := s.lock()
	defer unlock()
	for _, r := range records {
		if err == nil {
			r.Offset = int64(len(s.keyed))
			s.keyed = append(s.keyed, r)
		}
	}
	return err
}

func (s *memoryStore) AppendKeyedAt(ctx context.Context, topic string, end int64, records []store.KeyedRecord) error {
	s.mu.Lock()
	now := int64(len(s.keyed))
	s.mu.Unlock()
	if now != end {
		return &store.ConflictError{End: now}
	}
	return s.AppendKeyed(ctx, topic, records)
}

func (s *memoryStore) ReadNewest(context.Context, string) ([]store.KeyedRecord, int64, error) {
	unlock, err := s.lock()
	defer unlock()
	newest := map[string]store.KeyedRecord{}
	for _, r := range s.keyed {
		newest[r.Key] = r
	}
	var out []store.KeyedRecord
	for _, r := range newest {
		if r.Value != nil {
			out = append(out, r)
		}
	}
	return out, int64(len(s.keyed)), err
}

func (s *memoryStore) ReadKeyed(_ context.Context, _ string, from int64, _ time.Duration) ([]store.KeyedRecord, int64, error) {
	unlock, err := s.lock()
	defer unlock()
	return s.keyed[from:], int64(len(s.keyed)), err
}
