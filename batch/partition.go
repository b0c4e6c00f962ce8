package batch

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
)

// Timeouts and limits of reading a partition.
const (
	// readWait is how long one read waits for a record. It is bounded because the store may fail to end the wait
	// when a record arrives.
	readWait = time.Second
	// followTTL is how long a partition is read after the last request for its results.
	followTTL = 10 * time.Second
	// maxIndexReadBytes is the approximate limit of one read of the index.
	maxIndexReadBytes = 1 << 20
	// readRetryDelay is the pause after a failed read.
	readRetryDelay = 200 * time.Millisecond
	// syncTimeout limits one call of sync. API callers that wait for it may ask another VM instead.
	syncTimeout = time.Second
)

// partition keeps the index of one partition up to date while the partition is owned or was requested recently.
type partition struct {
	store     store.Log
	id        store.Partition
	log       *slog.Logger
	retention time.Duration
	// readable is how long after its acceptance the results of a submission must stay readable.
	readable time.Duration

	mu          sync.Mutex
	index       *indexState
	data        *dataPartition
	changed     chan struct{}
	owned       bool
	ownedAt     time.Time
	requestedAt time.Time
	caughtUpAt  time.Time // the index holds all records that were in the log at this time
	following   bool
	// competing is set if this VM competes for the tenure of the partition, candidate if it is first in line: then it keeps up with the
	// partition, so that it can go on at once.
	competing, candidate bool
	// undiscovered is set if the partition is to be read for open work.
	undiscovered bool

	wake func() // notifies the runner of a change in an owned partition
	// openWork tells that there is open work in the partition although this VM does not compete for it. It may be nil.
	openWork func()
}

// follow starts the read loop unless it is running. The caller holds mu.
func (p *partition) follow(ctx context.Context) {
	if p.following || ctx.Err() != nil {
		return
	}
	p.following = true
	go p.readLoop(ctx)
}

// setOwned sets whether this VM runs the partition's submissions.
func (p *partition) setOwned(ctx context.Context, owned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owned == owned {
		return
	}
	p.log.Info("partition_owner", "partition", p.id.Index, "owned", owned)
	p.owned = owned
	if owned {
		p.ownedAt = time.Now()
		// A read in flight began before the takeover and may wait up to readWait; catchUp reads without waiting.
		go p.catchUp(ctx)
		p.follow(ctx)
	}
}

// caughtUp reports whether the partition was read to its end since this VM took it over. Before that, a submission
// may look open although the log holds the record of its end. The caller holds mu.
func (p *partition) caughtUp() bool { return p.owned && !p.caughtUpAt.Before(p.ownedAt) }

// needed reports whether the read loop must continue. The caller holds mu.
func (p *partition) needed(now time.Time) bool {
	return p.owned || p.candidate || now.Sub(p.requestedAt) < followTTL
}

func (p *partition) readLoop(ctx context.Context) {
	var outage process.Outage
	for {
		p.mu.Lock()
		if ctx.Err() != nil || !p.needed(time.Now()) {
			p.following = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		if err := p.read(ctx, readWait); err != nil && ctx.Err() == nil {
			outage.Failed(p.log, "partition_read", err, "partition", p.id.Index)
			process.Sleep(ctx, readRetryDelay)
			continue
		}
		outage.Recovered(p.log, "partition_read", "partition", p.id.Index)
	}
}

// read does one read, waiting for a record for at most wait, and applies the records.
func (p *partition) read(ctx context.Context, wait time.Duration) error {
	p.mu.Lock()
	from := p.index.next
	p.mu.Unlock()
	endKnownAt := time.Now()
	chunk, err := p.store.Read(ctx, p.id, from, wait, maxIndexReadBytes)
	var truncated *store.TruncatedError
	if errors.As(err, &truncated) {
		p.mu.Lock()
		p.index.next = max(p.index.next, truncated.First)
		p.mu.Unlock()
		p.log.Warn("partition_truncated", "partition", p.id.Index, "from", from, "first", truncated.First)
		return nil
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	anyChanged := false
	for i, r := range chunk.Records {
		changed, err := p.index.apply(chunk.From+int64(i), r)
		if err != nil {
			p.log.Error("record_ignored", "partition", p.id.Index, "err", err)
		}
		anyChanged = anyChanged || changed
	}
	if p.index.next >= chunk.End {
		// An empty read found the end of the partition when it returned, not when it was sent.
		if len(chunk.Records) == 0 {
			endKnownAt = time.Now()
		}
		wasBehind := p.caughtUpAt.Before(p.ownedAt)
		p.caughtUpAt = endKnownAt
		if wasBehind && p.caughtUp() {
			p.wake()
		}
	}
	if anyChanged {
		close(p.changed)
		p.changed = make(chan struct{})
		if p.owned {
			p.wake()
		}
		if !p.competing && p.openWork != nil && p.hasOpenWork() {
			go p.openWork()
		}
		if n := p.index.expire(time.Now().Add(-p.retention)); n > 0 {
			p.log.Info("batches_expired", "partition", p.id.Index, "count", n)
		}
	}
	return nil
}

// catchUp repeats sync until the partition is caught up or no longer owned.
func (p *partition) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.sync(ctx)
		p.mu.Lock()
		finished := !p.owned || p.caughtUp()
		p.mu.Unlock()
		if finished {
			return
		}
		if err != nil {
			p.log.Warn("partition_unread", "partition", p.id.Index, "err", err)
		}
		process.Sleep(ctx, readRetryDelay)
	}
}

// sync reads to the end that the partition had when sync was called.
func (p *partition) sync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	start := time.Now()
	for {
		p.mu.Lock()
		done := !p.caughtUpAt.Before(start)
		p.mu.Unlock()
		if done {
			return nil
		}
		if err := p.read(ctx, 0); err != nil {
			return err
		}
	}
}

// readPast reads until the record at an offset has been applied.
func (p *partition) readPast(ctx context.Context, offset int64) error {
	for {
		p.mu.Lock()
		done := p.index.next > offset
		p.mu.Unlock()
		if done {
			return nil
		}
		if err := p.read(ctx, 0); err != nil {
			return err
		}
		if err := ctx.Err(); err != nil {
			return err
		}
	}
}

// setCandidate starts to follow the partition, for as long as this process runs.
func (p *partition) setCandidate(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.candidate = true
	p.follow(ctx)
}

// keepFollowing keeps the partition up to date for followTTL.
func (p *partition) keepFollowing(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requestedAt = time.Now()
	p.follow(ctx)
}
