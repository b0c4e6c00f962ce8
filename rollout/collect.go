package rollout

import (
	"github.com/ibistrail/ibistrail/api"
)

// Collect returns the complete, fresh groups that the cursor does not name, for a trainer at the given version.
// A response holds at most maxSamples samples (0 means no limit) and about MaxAnswerBytes. A group that exceeds
// either limit is returned alone, split over several responses if it exceeds MaxAnswerBytes.
// The result stays the same until the cursor advances.
func (s *Step) Collect(cursor api.Cursor, version int64, maxSamples int) *api.PullResponse {
	minVersion := s.minFreshVersion(max(version, s.trainerVersion))
	resp := &api.PullResponse{Samples: []api.Sample{}}
	totalBytes := 0
	for _, g := range s.groups {
		groupSamples := s.deliverableSamples(g, cursor, minVersion)
		if groupSamples == 0 {
			continue
		}
		groupBytes := s.undeliveredBytes(g, cursor)
		if len(resp.Samples) > 0 && (totalBytes+groupBytes > MaxAnswerBytes || maxSamples > 0 && len(resp.Samples)+groupSamples > maxSamples) {
			break
		}
		totalBytes += groupBytes
		resp.Samples = s.appendGroup(resp.Samples, g, cursor)
	}
	resp.Remaining = len(s.slots) - cursor.Count() - len(resp.Samples)
	resp.Done = cursor.Count() >= len(s.slots)
	resp.Failed = s.failedSlots(cursor)
	return resp
}

// appendGroup appends the samples of a group that the cursor does not name, up to MaxAnswerBytes but at least one.
func (s *Step) appendGroup(samples []api.Sample, g group, cursor api.Cursor) []api.Sample {
	size := 0
	for i := g.firstSlot; i < g.firstSlot+g.samples; i++ {
		if cursor.Has(i) {
			continue
		}
		size += sampleBytes(s.slots[i].sample)
		if size > MaxAnswerBytes && size > sampleBytes(s.slots[i].sample) {
			break
		}
		samples = append(samples, *s.slots[i].sample)
	}
	return samples
}

func (s *Step) undeliveredBytes(g group, cursor api.Cursor) int {
	size := 0
	for i := g.firstSlot; i < g.firstSlot+g.samples; i++ {
		if !cursor.Has(i) {
			size += sampleBytes(s.slots[i].sample)
		}
	}
	return size
}

// sampleBytes estimates the size of a sample in JSON, in bytes.
func sampleBytes(s *api.Sample) int {
	return len(s.Text) + bytesPerToken*len(s.Tokens) + bytesPerSample
}

// deliverableSamples returns the number of samples of a group that the trainer still lacks, or 0 if any of them
// is not ready or is older than minVersion.
func (s *Step) deliverableSamples(g group, cursor api.Cursor, minVersion int64) int {
	n := 0
	for i := g.firstSlot; i < g.firstSlot+g.samples; i++ {
		if cursor.Has(i) {
			continue
		}
		sl := &s.slots[i]
		if sl.state != slotReady || sl.oldestVersion < minVersion {
			return 0
		}
		n++
	}
	return n
}

func (s *Step) failedSlots(cursor api.Cursor) []api.FailedSlot {
	var failed []api.FailedSlot
	for i := range s.slots {
		if f := s.slots[i].failed; f != nil && !cursor.Has(i) {
			failed = append(failed, *f)
		}
	}
	return failed
}

// LeadingAttempts returns, for each running slot, the attempt with the most tokens.
func (s *Step) LeadingAttempts() map[int]AttemptID {
	out := map[int]AttemptID{}
	for i := range s.slots {
		mostTokens := -1
		for _, a := range s.slots[i].running {
			if a.tokens > mostTokens {
				mostTokens, out[i] = a.tokens, a.id
			}
		}
	}
	return out
}

// Export returns the ready samples that the trainer does not hold yet and the cursor of those it holds, for a handover.
func (s *Step) Export() ([]api.Sample, api.Cursor) {
	var samples []api.Sample
	var held api.Cursor
	for i := range s.slots {
		switch s.slots[i].state {
		case slotReady:
			samples = append(samples, *s.slots[i].sample)
		case slotHeld:
			held = held.With(i)
		}
	}
	return samples, held
}
