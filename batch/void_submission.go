package batch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ibistrail/ibistrail/organisation"
	"github.com/ibistrail/ibistrail/process"
)

// voidSubmission is a submission that was placed by an older epoch than that of its partition.
type voidSubmission struct {
	head      *Head
	itemSpans []span
	placing   bool
}

// mustPlace reports whether a void submission of the partition must be readable. It may have been placed by another VM. The caller holds mu.
func (p *partition) mustPlace(v *voidSubmission) bool {
	return v.head.AcceptedMs >= time.Now().Add(-p.readable).UnixMilli()
}

// beginPlacing reports whether a void submission of the partition is pending: it must be readable, and is not known to be placed. start is
// set if the caller must call placeVoid. The caller holds mu.
func (p *partition) beginPlacing(v *voidSubmission) (pending, start bool) {
	if !p.mustPlace(v) {
		return false, false
	}
	start = !v.placing
	v.placing = true
	return true, start
}

// placeVoid places a void submission of a partition by the current epoch, unless that has happened before: the VM that appended it has
// promised that it is kept. The VM that runs the partition's submissions does so, and each one that is asked for it, since a partition
// whose pool has left the tables may have no holder.
func (s *Service) placeVoid(ctx context.Context, p *partition, v *voidSubmission) {
	to, err := s.placeElsewhere(ctx, p, v)
	s.countCall("place_void", err)
	s.opts.Log.Info("batch_void", "batch", v.head.ID, "partition", p.id.Index, "to", to, "err", err)
	if err != nil {
		process.Sleep(ctx, storeRetryAfter)
	}
	p.mu.Lock()
	v.placing = false
	if err == nil {
		delete(p.index.void, v.head.ID)
	}
	p.mu.Unlock()
	p.wake()
}

// placeElsewhere returns the index of the partition that holds the submission.
func (s *Service) placeElsewhere(ctx context.Context, p *partition, v *voidSubmission) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	snap := s.opts.View.Get()
	epoch, err := s.epoch(ctx, snap)
	if err != nil {
		return 0, err
	}
	if q := s.partitionWith(v.head.ID); q != nil {
		return q.id.Index, nil
	}
	items, err := p.data.readItems(ctx, v.itemSpans)
	if err != nil {
		return 0, err
	}
	data, err := json.Marshal(items)
	if err != nil {
		return 0, err
	}
	q := s.destination(snap.Tables, v.head)
	err = s.accept(ctx, q, &Submission{Head: *v.head, Items: items}, splitRecord(data, s.opts.MaxRecordBytes), epoch)
	if err == nil {
		q.setUndiscovered() // without a route, it is the partition of an ID, which may have no holder
		process.Notify(s.discoveries)
	}
	return q.id.Index, err
}

// placePending reports whether a submission that is in no partition is void in one, and starts to place it.
func (s *Service) placePending(id string) bool {
	for _, p := range s.partitions {
		p.mu.Lock()
		v := p.index.void[id]
		pending, start := false, false
		if v != nil {
			pending, start = p.beginPlacing(v)
		}
		p.mu.Unlock()
		if start {
			go s.placeVoid(s.ctx, p, v)
		}
		if pending {
			return true
		}
	}
	return false
}

// partitionWith returns the partition that holds a submission of any organisation among the records read so far, or nil.
func (s *Service) partitionWith(id string) *partition {
	p, _ := s.findLocal(organisation.Caller{}, id)
	return p
}
