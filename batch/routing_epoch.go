package batch

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ibistrail/ibistrail/fleet"
)

// A submission belongs in the partition of the pool to which its route goes, and routes move between pools. What VMs know of a move
// differs for a while, so the log decides. A routing epoch is a version of the tables that changed the pools of batch routes. Before a VM
// places submissions by it, the epoch is recorded in every partition, and the VM has read every partition up to that record:
//
//   - a submission that was placed by an older epoch and precedes the record is known to the VM, and is not accepted again elsewhere;
//   - one that follows the record is void for all who read it, and is placed anew by the newest epoch (void_submission.go).
//
// Submissions of one epoch go to one partition, where the first one with an ID wins. No clock is involved, and a VM that can't read a
// partition knows that it knows too little.

// routingEpoch identifies which pools the batch routes go to.
type routingEpoch struct {
	// Version is that of the tables by which the epoch was first recorded.
	Version int64 `json:"version"`
	// Digest is fleet.BatchRouting.Digest.
	Digest string `json:"digest"`
}

// establishedEpoch is the epoch by which this VM places submissions.
type establishedEpoch struct {
	routingEpoch
	// routing is that of the tables at that time. Tables whose routes have moved and moved back have another one.
	routing fleet.BatchRouting
}

// Errors of a VM that does not know where a submission belongs.
var (
	errTablesOutdated = errors.New("this VM's tables are older than those by which others place batches; submit the batch again")
	errRoutesMoving   = errors.New("the routes of batches are moving; submit the batch again")
	errNoRoute        = errors.New("the batch's route has just gone; submit the batch again")
)

// maxEpochTries limits how often a VM records an epoch anew because others have recorded a newer one meanwhile.
const maxEpochTries = 3

// epoch returns the epoch by which this VM may place submissions under the tables of a snapshot. It reads the log only if routes have
// moved, or another VM has recorded a newer epoch, since the last call. Errors are *UnavailableError.
func (s *Service) epoch(ctx context.Context, snap *fleet.Snapshot) (routingEpoch, error) {
	if e, ok := s.currentEpoch(snap); ok {
		return e, nil
	}
	established := s.establishing.DoChan("", func() (any, error) {
		if e, ok := s.currentEpoch(snap); ok {
			return e, nil
		}
		ctx, cancel := context.WithTimeout(s.ctx, submitTimeout)
		defer cancel()
		return s.establishEpoch(ctx, snap)
	})
	select {
	case r := <-established:
		if r.Err != nil {
			return routingEpoch{}, &UnavailableError{RetryAfter: storeRetryAfter, Cause: r.Err}
		}
		if e := r.Val.(routingEpoch); e.Digest == snap.BatchRouting.Digest {
			return e, nil
		}
		return routingEpoch{}, &UnavailableError{RetryAfter: storeRetryAfter, Cause: errRoutesMoving}
	case <-ctx.Done():
		return routingEpoch{}, &UnavailableError{RetryAfter: storeRetryAfter, Cause: ctx.Err()}
	}
}

// currentEpoch returns the established epoch if it is that of the tables of a snapshot, and the newest that this VM has read of.
func (s *Service) currentEpoch(snap *fleet.Snapshot) (routingEpoch, bool) {
	e := s.established.Load()
	if e == nil || e.routing != snap.BatchRouting {
		return routingEpoch{}, false
	}
	return e.routingEpoch, s.newestEpoch().Version <= e.Version
}

// readEpoch is an epoch that this VM has read of.
type readEpoch struct {
	routingEpoch
	// inAll is set if this VM has read every partition up to the epoch's record.
	inAll bool
	// used is set if this VM has read a submission of the epoch. Every partition had the record by then, though it may have expired since.
	used bool
}

// newestEpoch returns the newest epoch among the records that this VM has read.
func (s *Service) newestEpoch() readEpoch {
	var newest routingEpoch
	used, inAll := int64(0), true
	for i, p := range s.partitions {
		p.mu.Lock()
		e := p.index.epoch
		used = max(used, p.index.epochUsed)
		p.mu.Unlock()
		inAll = inAll && (i == 0 || e == newest)
		if e.Version > newest.Version {
			newest = e
		}
	}
	return readEpoch{newest, inAll && newest.Version > 0, used > 0 && used >= newest.Version}
}

// adoptEpoch establishes the epoch of a snapshot's tables if this VM has read all partitions up to it, and reports whether it did.
func (s *Service) adoptEpoch(snap *fleet.Snapshot) (routingEpoch, bool) {
	newest := s.newestEpoch()
	if !newest.inAll || newest.Digest != snap.BatchRouting.Digest {
		return newest.routingEpoch, false
	}
	s.established.Store(&establishedEpoch{newest.routingEpoch, snap.BatchRouting})
	return newest.routingEpoch, true
}

// establishEpoch reads all partitions, and records the epoch of a snapshot's tables unless it is in force already.
func (s *Service) establishEpoch(ctx context.Context, snap *fleet.Snapshot) (e routingEpoch, err error) {
	digest, recorded := snap.BatchRouting.Digest, 0
	start := time.Now()
	defer func() {
		s.opts.Log.Info("batch_epoch", "version", e.Version, "digest", digest, "recorded", recorded, "ms", time.Since(start).Milliseconds(), "err", err)
	}()
	if err := s.syncAll(ctx); err != nil {
		return routingEpoch{}, err
	}
	for range maxEpochTries {
		if e, ok := s.adoptEpoch(snap); ok {
			return e, nil
		}
		newest := s.newestEpoch()
		switch {
		case newest.Digest != digest && newest.Version >= snap.Tables.Version:
			return newest.routingEpoch, errTablesOutdated
		case newest.Digest == digest && newest.used:
			// The submission may have been placed after another partition was read.
			if err := s.syncAll(ctx); err != nil {
				return newest.routingEpoch, err
			}
			if s.newestEpoch().routingEpoch == newest.routingEpoch {
				s.established.Store(&establishedEpoch{newest.routingEpoch, snap.BatchRouting})
				return newest.routingEpoch, nil
			}
			continue
		}
		n, err := s.recordEpoch(ctx, routingEpoch{max(snap.Tables.Version, newest.Version), digest})
		recorded += n
		if err != nil {
			return newest.routingEpoch, err
		}
	}
	return routingEpoch{}, errRoutesMoving
}

// recordEpoch appends an epoch to the partitions that lack it, and reads them up to it. It returns their number.
func (s *Service) recordEpoch(ctx context.Context, e routingEpoch) (int, error) {
	data, err := json.Marshal(record{Kind: recordEpoch, Epoch: &e})
	if err != nil {
		return 0, err
	}
	group, ctx := errgroup.WithContext(ctx)
	n := 0
	for _, p := range s.partitions {
		p.mu.Lock()
		known := p.index.epoch.Version >= e.Version
		p.mu.Unlock()
		if known {
			continue
		}
		n++
		group.Go(func() error {
			offset, err := s.appendAll(ctx, p.id, [][]byte{data})
			if err != nil {
				return err
			}
			return p.readPast(ctx, offset)
		})
	}
	return n, group.Wait()
}

// destination returns the partition in which a submission belongs in the current epoch.
func (s *Service) destination(tables *fleet.Tables, head *Head) *partition {
	// Without a route, all VMs must choose the same partition.
	p := s.partitionOf(head.ID)
	if route := tables.Match(head.Host, head.Path); route != nil && route.Batch {
		p = s.partitionOf(route.Pool)
	}
	for range s.partitions { // builds without epochs have placed it elsewhere
		p.mu.Lock()
		moved, ok := p.index.moved[head.ID]
		p.mu.Unlock()
		if !ok || moved.Partition < 0 || moved.Partition >= len(s.partitions) {
			break
		}
		p = s.partitions[moved.Partition]
	}
	return p
}
