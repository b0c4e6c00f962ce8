package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/organisation"
	"github.com/ibistrail/ibistrail/process"
)

// A submission is in the partition of the pool to which its route went when it was accepted. If the route moves, the same submission may
// arrive again and would go to another partition. So a VM that knows of a recent move first writes a moved record to each former
// partition: the first record with an ID tells there whether it was accepted, in the order that all VMs read. A VM that does
// not know of the move yet and goes on appending to a former partition has no effect there then, and the submission is in the new one.

// resubmitWindow is how long after a move of its route, or after a start of this process, a submission may arrive that was accepted
// before.
const resubmitWindow = 30 * time.Second

// errMovedMeanwhile means that several VMs have moved a submission at the same time.
var errMovedMeanwhile = errors.New("other VMs place the batch at the same time; submit it again under the same ID")

// knows reports whether any partition holds the submission among the records read so far.
func (s *Service) knows(sub *Submission) bool {
	p, _ := s.findLocal(organisation.Caller{Organisation: sub.Organisation}, sub.ID)
	return p != nil
}

// destination tells where a submission belongs.
type destination struct {
	partition *partition
	// accepted is set if the partition holds the submission already.
	accepted bool
	// moved is set if a former partition may refer to this one.
	moved bool
}

// findDestination returns where a submission belongs. p is the partition of the route's pool.
func (s *Service) findDestination(ctx context.Context, snap *fleet.Snapshot, p *partition, sub *Submission) (destination, error) {
	now := time.Now()
	var former []*partition
	for _, pool := range snap.FormerPools(sub.Host, sub.Path, now.Add(-resubmitWindow)) {
		if q := s.partitionOf(pool); q != p && !slices.Contains(former, q) {
			former = append(former, q)
		}
	}
	switch {
	case len(former) > 0:
		dest, err := s.destinationAfterMove(ctx, p, former, sub.ID)
		s.opts.Log.Info("batch_moved", "batch", sub.ID, "partition", p.id.Index, "former", len(former), "target", dest.partition.id.Index, "accepted", dest.accepted, "err", err)
		return dest, err
	case s.opts.Restarted && now.Sub(s.startedAt) < resubmitWindow:
		if err := s.syncAll(ctx); err != nil {
			s.opts.Log.Warn("batch_partitions_unread", "batch", sub.ID, "err", err)
		}
		accepted, _ := s.accepted(p, sub)
		return destination{partition: p, accepted: accepted || s.knows(sub)}, nil
	}
	return destination{partition: p}, nil
}

// destinationAfterMove places a submission whose route went to the former partitions before it went to p.
func (s *Service) destinationAfterMove(ctx context.Context, p *partition, former []*partition, id string) (destination, error) {
	target, moved := p, false
	for range s.partitions {
		dest, err := s.follow(ctx, target, id)
		if err == nil && !dest.accepted {
			target = dest.partition
			dest, err = s.closeFormer(ctx, target, append(former, p), id)
		}
		moved = moved || dest.moved
		if dest.moved = moved; err != nil || dest.accepted || dest.partition == target {
			return dest, err
		}
		target = dest.partition
	}
	return destination{partition: target, moved: moved}, &UnavailableError{RetryAfter: storeRetryAfter, Cause: errMovedMeanwhile}
}

// closeFormer makes the former partitions refer to the target. It returns another partition if one of them holds the submission or refers
// there.
func (s *Service) closeFormer(ctx context.Context, target *partition, former []*partition, id string) (destination, error) {
	closed := destination{partition: target}
	data, err := json.Marshal(record{Kind: recordMoved, ID: id, MovedTo: &movedTo{Partition: target.id.Index, AtMs: time.Now().UnixMilli()}})
	if err != nil {
		return closed, fmt.Errorf("encode the move of batch %s: %w", id, err)
	}
	for _, f := range former {
		if f == target {
			continue
		}
		_, err := s.appendAll(ctx, f.id, [][]byte{data})
		closed.moved = closed.moved || err == nil || errors.Is(err, ErrOutcomeUnknown)
		if err != nil {
			return closed, &UnavailableError{RetryAfter: storeRetryAfter, Cause: err}
		}
		dest, err := s.follow(ctx, f, id)
		if err != nil || dest.partition != target {
			dest.moved = closed.moved
			return dest, err
		}
	}
	return closed, nil
}

// follow reads partitions to their ends and follows the moved records of an ID, from p to a partition that has none.
func (s *Service) follow(ctx context.Context, p *partition, id string) (destination, error) {
	for range s.partitions {
		if err := p.sync(ctx); err != nil {
			return destination{partition: p}, &UnavailableError{RetryAfter: storeRetryAfter, Cause: err}
		}
		p.mu.Lock()
		first := p.index.submissions[id]
		moved, ok := p.index.moved[id]
		p.mu.Unlock()
		if first != nil || !ok {
			return destination{partition: p, accepted: first != nil}, nil
		}
		if moved.Partition < 0 || moved.Partition >= len(s.partitions) {
			break
		}
		p = s.partitions[moved.Partition]
	}
	return destination{partition: p}, &UnavailableError{RetryAfter: storeRetryAfter, Cause: errMovedMeanwhile}
}

// finishMoved goes on with accepting a submission after the caller's call has failed: a VM that does not know of the move may meanwhile
// append it to a former partition, where it has no effect. It returns ErrOutcomeUnknown.
func (s *Service) finishMoved(p *partition, sub *Submission, parts [][]byte, cause error) error {
	s.opts.Log.Warn("batch_move_unfinished", "batch", sub.ID, "partition", p.id.Index, "err", cause)
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, resubmitWindow)
		defer cancel()
		for ctx.Err() == nil {
			process.Sleep(ctx, storeRetryAfter)
			dest, err := s.findDestination(ctx, s.opts.View.Get(), p, sub)
			if err == nil && !dest.accepted {
				err = s.accept(ctx, dest.partition, sub, parts)
			}
			if err == nil {
				s.opts.Log.Info("batch_move_finished", "batch", sub.ID, "partition", dest.partition.id.Index)
				return
			}
		}
	}()
	return ErrOutcomeUnknown
}
