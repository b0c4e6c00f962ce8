package rollout

import (
	"github.com/ibistrail/ibistrail/api"
)

// Collect returns whole, fresh groups for a pull with the given cursor and trainer version, at most
// maxSamples of them (0 means no bound) and MaxAnswerBytes; a group that is larger by itself comes
// alone, in parts if need be. It repeats until the cursor moves.
func (s *Step) Collect(cursor api.Cursor, version int64, maxSamples int) *api.PullResponse {
	need := s.need(max(version, s.version))
	resp := &api.PullResponse{Samples: []api.Sample{}}
	size := 0
	for _, g := range s.groups {
		n := s.whole(g, cursor, need)
		if n == 0 {
			continue
		}
		own := s.groupSize(g, cursor)
		if len(resp.Samples) > 0 && (size+own > MaxAnswerBytes || maxSamples > 0 && len(resp.Samples)+n > maxSamples) {
			break
		}
		size += own
		resp.Samples = s.appendGroup(resp.Samples, g, cursor)
	}
	resp.Remaining = len(s.slots) - cursor.Count() - len(resp.Samples)
	resp.Done = cursor.Count() >= len(s.slots)
	resp.Failed = s.failedSlots(cursor)
	return resp
}

// appendGroup appends what the cursor lacks of a group, up to MaxAnswerBytes.
func (s *Step) appendGroup(samples []api.Sample, g group, cursor api.Cursor) []api.Sample {
	size := 0
	for i := g.first; i < g.first+g.n; i++ {
		if cursor.Has(i) {
			continue
		}
		size += sampleSize(s.slots[i].sample)
		if size > MaxAnswerBytes && size > sampleSize(s.slots[i].sample) {
			break
		}
		samples = append(samples, *s.slots[i].sample)
	}
	return samples
}

func (s *Step) groupSize(g group, cursor api.Cursor) int {
	size := 0
	for i := g.first; i < g.first+g.n; i++ {
		if !cursor.Has(i) {
			size += sampleSize(s.slots[i].sample)
		}
	}
	return size
}

// sampleSize returns roughly the bytes of a sample in JSON.
func sampleSize(s *api.Sample) int { return len(s.Text) + bytesPerToken*len(s.Tokens) + bytesPerSample }

// whole returns the number of samples that complete a group for a trainer, or 0 if one of them is
// not ready or too old.
func (s *Step) whole(g group, cursor api.Cursor, need int64) int {
	n := 0
	for i := g.first; i < g.first+g.n; i++ {
		if cursor.Has(i) {
			continue
		}
		sl := &s.slots[i]
		if sl.state != slotReady || sl.oldest < need {
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

// Running returns the attempt that is furthest on each slot that has one.
func (s *Step) Running() map[int]AttemptID {
	out := map[int]AttemptID{}
	for i := range s.slots {
		best := -1
		for _, a := range s.slots[i].running {
			if a.tokens > best {
				best, out[i] = a.tokens, a.id
			}
		}
	}
	return out
}

// Export returns the scored samples that no cursor has named, and the cursor, for a peer.
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
