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

// Times of following a partition.
const (
	// followWait is how long one read waits for a record. The store may miss to end a wait.
	followWait = time.Second
	// hotFor is how long a partition is followed after it was asked for last.
	hotFor = 10 * time.Second
	// indexRead is about the most that one read of the index returns, in bytes.
	indexRead = 1 << 20
	// readRetry is the pause after a failed read.
	readRetry = 200 * time.Millisecond
	// syncTimeout bounds reading to the end for a caller, who may ask another VM instead.
	syncTimeout = time.Second
)

// partition follows one partition of the log while it is owned or asked for.
type partition struct {
	store store.Log
	id    store.Partition
	log   *slog.Logger
	keep  time.Duration

	mu      sync.Mutex
	book    *book
	data    *data
	changed chan struct{}
	owned   bool
	ownedAt time.Time
	askedAt time.Time
	readAt  time.Time // when the last read to the end was sent
	running bool

	wake func() // tells the runner of a change in an owned partition
}

// follow starts the reading loop if it is needed and not running. The caller holds mu.
func (p *partition) follow(ctx context.Context) {
	if p.running || ctx.Err() != nil {
		return
	}
	p.running = true
	go p.loop(ctx)
}

// own sets whether this VM runs the partition's batches.
func (p *partition) own(ctx context.Context, owned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owned == owned {
		return
	}
	p.log.Info("partition_owner", "partition", p.id.Index, "owned", owned)
	p.owned = owned
	if owned {
		p.ownedAt = time.Now()
		// A read in flight was sent before and may wait for long; the end is asked for at once.
		go p.catchUp(ctx)
		p.follow(ctx)
	}
}

// current tells whether the partition was read to its end since this VM took it over. Before that, a
// submission may look open whose end has not been read yet. The caller holds mu.
func (p *partition) current() bool { return p.owned && !p.readAt.Before(p.ownedAt) }

func (p *partition) wanted(now time.Time) bool { return p.owned || now.Sub(p.askedAt) < hotFor }

func (p *partition) loop(ctx context.Context) {
	var outage process.Outage
	for {
		p.mu.Lock()
		if ctx.Err() != nil || !p.wanted(time.Now()) {
			p.running = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		if err := p.read(ctx, followWait); err != nil && ctx.Err() == nil {
			outage.Failed(p.log, "partition_read", err, "partition", p.id.Index)
			process.Sleep(ctx, readRetry)
			continue
		}
		outage.Over(p.log, "partition_read", "partition", p.id.Index)
	}
}

// read reads once and applies what it gets.
func (p *partition) read(ctx context.Context, wait time.Duration) error {
	p.mu.Lock()
	from := p.book.next
	p.mu.Unlock()
	sent := time.Now()
	b, err := p.store.Read(ctx, p.id, from, wait, indexRead)
	var truncated *store.TruncatedError
	if errors.As(err, &truncated) {
		p.mu.Lock()
		p.book.next = max(p.book.next, truncated.First)
		p.mu.Unlock()
		p.log.Warn("partition_truncated", "partition", p.id.Index, "from", from, "first", truncated.First)
		return nil
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	any := false
	for i, r := range b.Records {
		changed, err := p.book.apply(b.From+int64(i), r)
		if err != nil {
			p.log.Error("record_ignored", "partition", p.id.Index, "err", err)
		}
		any = any || changed
	}
	if p.book.next >= b.End {
		// A read that waited found the partition's end when it was answered.
		if len(b.Records) == 0 {
			sent = time.Now()
		}
		first := p.readAt.Before(p.ownedAt)
		p.readAt = sent
		if first && p.current() {
			p.wake()
		}
	}
	if any {
		close(p.changed)
		p.changed = make(chan struct{})
		if p.owned {
			p.wake()
		}
		if n := p.book.expire(time.Now().Add(-p.keep)); n > 0 {
			p.log.Info("batches_expired", "partition", p.id.Index, "count", n)
		}
	}
	return nil
}

// catchUp reads to the end, again and again until it is known.
func (p *partition) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.sync(ctx)
		p.mu.Lock()
		over := !p.owned || p.current()
		p.mu.Unlock()
		if over {
			return
		}
		if err != nil {
			p.log.Warn("partition_unread", "partition", p.id.Index, "err", err)
		}
		process.Sleep(ctx, readRetry)
	}
}

// sync reads to the end that the partition has now.
func (p *partition) sync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	start := time.Now()
	for {
		p.mu.Lock()
		done := !p.readAt.Before(start)
		p.mu.Unlock()
		if done {
			return nil
		}
		if err := p.read(ctx, 0); err != nil {
			return err
		}
	}
}

// ask keeps the partition followed for a while.
func (p *partition) ask(life context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.askedAt = time.Now()
	p.follow(life)
}
