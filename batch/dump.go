package batch

import "time"

// State is the part of the state dump about batches.
type State struct {
	// Epoch is the version of the routing epoch by which this VM places submissions; 0 if it must read the log first.
	Epoch      int64                  `json:"epoch"`
	Partitions map[int]PartitionState `json:"partitions"`
	Runner     RunnerState            `json:"runner"`
}

// PartitionState is the part of the state dump about a partition.
type PartitionState struct {
	Owned         bool  `json:"owned"`
	Next          int64 `json:"next_offset"`
	CaughtUpMsAgo int64 `json:"read_ms_ago"`
	// Epoch is the version of the newest routing epoch that was read, Void the number of submissions that are to be placed by it.
	Epoch   int64        `json:"epoch,omitempty"`
	Void    int          `json:"void,omitempty"`
	Batches []BatchState `json:"batches,omitempty"`
}

// BatchState is the part of the state dump about a submission.
type BatchState struct {
	ID     string `json:"id"`
	Step   int64  `json:"step"`
	Total  int    `json:"total"`
	Listed int    `json:"listed"`
	Ended  bool   `json:"ended"`
}

// RunnerState is the part of the state dump about the items that this VM runs.
type RunnerState struct {
	// Jobs counts the items by state.
	Jobs    map[string]int         `json:"jobs"`
	Engines map[string]EngineState `json:"engines"`
}

// EngineState is the part of the state dump about an engine.
type EngineState struct {
	Running         int              `json:"running"`
	FreeSlots       int              `json:"room"`
	EventIntervalMs int64            `json:"pace_ms"`
	Versions        map[string]int64 `json:"versions"`
	// PromptTokens is the number of tokens of prompts and outputs that the engine is expected to hold.
	PromptTokens int `json:"prompt_tokens,omitempty"`
}

// State returns the partitions that are owned or were read, the open jobs and the engines for the state dump.
func (s *Service) State() State {
	partitions := map[int]PartitionState{}
	for i, p := range s.partitions {
		p.mu.Lock()
		state := PartitionState{Owned: p.owned, Next: p.index.next, CaughtUpMsAgo: time.Since(p.caughtUpAt).Milliseconds(), Epoch: p.index.epoch.Version, Void: len(p.index.void)}
		for _, id := range p.index.order {
			sub := p.index.submissions[id]
			state.Batches = append(state.Batches, BatchState{id, sub.head.Step, sub.itemCount, len(sub.results), sub.ended})
		}
		p.mu.Unlock()
		if state.Owned || state.Next > 0 {
			partitions[i] = state
		}
	}
	epoch := int64(0)
	if e := s.established.Load(); e != nil {
		epoch = e.Version
	}
	return State{epoch, partitions, s.runner.state()}
}
