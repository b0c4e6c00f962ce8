package batch

import (
	"time"
)

// PartitionState is what the state dump shows of a partition.
type PartitionState struct {
	Owned   bool         `json:"owned"`
	Next    int64        `json:"next_offset"`
	ReadMs  int64        `json:"read_ms_ago"`
	Batches []BatchState `json:"batches,omitempty"`
}

// BatchState is what the state dump shows of a submission.
type BatchState struct {
	ID     string `json:"id"`
	Step   int64  `json:"step"`
	Total  int    `json:"total"`
	Listed int    `json:"listed"`
	Ended  bool   `json:"ended"`
}

// State returns what the state dump shows: partitions, open jobs and engines.
func (s *Service) State() map[string]any {
	parts := map[int]PartitionState{}
	for i, p := range s.parts {
		p.mu.Lock()
		st := PartitionState{Owned: p.owned, Next: p.book.next, ReadMs: time.Since(p.readAt).Milliseconds()}
		for _, id := range p.book.order {
			e := p.book.entries[id]
			st.Batches = append(st.Batches, BatchState{id, e.head.Step, e.total, len(e.results), e.ended})
		}
		p.mu.Unlock()
		if st.Owned || st.Next > 0 {
			parts[i] = st
		}
	}
	return map[string]any{"partitions": parts, "runner": s.runner.state()}
}
