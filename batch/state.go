package batch

import "time"

// State is what the state dump shows of batches.
type State struct {
	Partitions map[int]PartitionState `json:"partitions"`
	Runner     RunnerState            `json:"runner"`
}

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

// RunnerState is what the state dump shows of the items that this VM runs.
type RunnerState struct {
	// Jobs counts the items by state.
	Jobs    map[string]int         `json:"jobs"`
	Engines map[string]EngineState `json:"engines"`
}

// EngineState is what the state dump shows of an engine.
type EngineState struct {
	Running  int              `json:"running"`
	Room     int              `json:"room"`
	PaceMs   int64            `json:"pace_ms"`
	Versions map[string]int64 `json:"versions"`
}

// State returns what the state dump shows: partitions, open jobs and engines.
func (s *Service) State() State {
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
	return State{parts, s.runner.state()}
}
