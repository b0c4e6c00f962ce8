package batch

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/store"
	"github.com/ibistrail/ibistrail/target"
	"github.com/ibistrail/ibistrail/versions"
)

// Topic holds submissions, results and ends.
const Topic = "batches"

// Times of callers' calls.
const (
	// submitBudget bounds the time in which a submission is repeated at the store: callers come back
	// with it to another VM.
	submitBudget = 2 * time.Second
	// storeRetryAfter is what a caller is told while the store takes no call: it is out for seconds, and
	// other VMs may reach it.
	storeRetryAfter = 300 * time.Millisecond
)

// Options configure a Service.
type Options struct {
	VM, AvailabilityZone string
	// Partitions is the number of partitions of Topic.
	Partitions             int
	RecordBytes, CallBytes int
	// Keep is how long submissions stay readable.
	Keep      time.Duration
	Log       *slog.Logger
	Store     store.Log
	View      *fleet.View
	Client    target.Client
	Forwarder Forwarder
}

// Service takes, keeps, runs and lists batch submissions.
type Service struct {
	o       Options
	life    context.Context
	parts   []*partition
	writers []*writer
	runner  *runner

	mu       sync.Mutex
	attempts int
}

// New returns a service that follows nothing yet; its work ends with life.
func New(life context.Context, o Options) *Service {
	s := &Service{o: o, life: life, runner: newRunner(o)}
	for i := range o.Partitions {
		id := store.Partition{Topic: Topic, Index: i}
		s.parts = append(s.parts, &partition{
			log: o.Store, id: id, out: o.Log, keep: 2 * o.Keep, book: newBook(), changed: make(chan struct{}), wake: s.runner.wake,
		})
		s.writers = append(s.writers, &writer{log: o.Store, id: id, out: o.Log, limit: o.CallBytes})
	}
	s.runner.append = s.appendResult
	s.runner.save = s.save
	s.runner.writer = o.VM + "/" + strconv.FormatInt(time.Now().UnixNano(), 36)
	return s
}

// Loads returns what has to be told of loads of weight versions.
func (s *Service) Loads() versions.Loads { return s.runner }

// Run runs items until the service's life ends.
func (s *Service) Run() { s.runner.run(s.life) }

// Own sets the partitions whose submissions this VM runs.
func (s *Service) Own(assigned []store.Partition) {
	owned := ownedBy(s.parts, Topic, assigned)
	for _, p := range s.parts {
		p.mu.Lock()
		if p.owned != owned[p] {
			s.o.Log.Info("partition_owner", "partition", p.id.Index, "owned", owned[p])
		}
		if !p.owned && owned[p] {
			p.ownedAt = time.Now()
		}
		p.owned = owned[p]
		if p.owned {
			p.follow(s.life)
		}
		p.mu.Unlock()
	}
	s.runner.own(owned)
}

func (s *Service) appendResult(p *partition, r *Result) {
	data, err := encodeResult(r)
	if err != nil {
		s.o.Log.Error("result_lost", "batch", r.Submission, "id", r.ItemID, "err", err)
		return
	}
	s.writers[p.id.Index].add(s.life, data)
}

// PartitionOf returns the partition of all submissions to a pool: the VM that owns it places the
// items of all steps that share the engines.
func PartitionOf(pool string, partitions int) store.Partition {
	return store.Partition{Topic: Topic, Index: store.Spread(pool, partitions)}
}

func (s *Service) partitionOf(pool string) *partition {
	return s.parts[PartitionOf(pool, len(s.parts)).Index]
}

// Submit accepts a submission to a route. It returns nil once the submission is kept for good.
func (s *Service) Submit(ctx context.Context, route *fleet.Route, sub *Submission) error {
	if err := sub.Validate(); err != nil {
		return err
	}
	p := s.partitionOf(route.Pool)
	sub.NewestVersion = newestVersion(s.o.View.Get(), route.Pool, sub.Model)
	p.mu.Lock()
	known := p.book.entries[sub.ID] != nil
	p.mu.Unlock()
	if known {
		return nil
	}
	s.mu.Lock()
	s.attempts++
	attempt := s.o.VM + "/" + strconv.FormatInt(time.Now().UnixNano(), 36) + "/" + strconv.Itoa(s.attempts)
	s.mu.Unlock()
	records, err := encodeSubmission(sub, attempt, s.o.RecordBytes)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, submitBudget)
	defer cancel()
	began := time.Now()
	err = s.appendAll(ctx, p.id, records)
	s.o.Log.Info("batch_submit", "batch", sub.ID, "partition", p.id.Index, "step", sub.Step, "items", len(sub.Items),
		"ms", time.Since(began).Milliseconds(), "err", err)
	return err
}

// newestVersion is the newest version of a model that was named or is run by an engine.
func newestVersion(snap *fleet.Snapshot, pool, model string) int64 {
	newest := snap.Named[model]
	for _, in := range snap.Pool(pool) {
		newest = max(newest, in.Versions[model])
	}
	return newest
}

// Handover writes down what this VM knows of unfinished texts, so that another can continue them.
func (s *Service) Handover() {
	for _, w := range s.runner.saveAll() {
		s.save(w.part, w.progress)
	}
	deadline := time.Now().Add(handoverBudget)
	for _, w := range s.writers {
		for !w.idle() && time.Now().Before(deadline) {
			time.Sleep(gatherFor)
		}
	}
}

// handoverBudget bounds the time in which unfinished texts are written down at a planned stop.
const handoverBudget = 800 * time.Millisecond

func (s *Service) save(p *partition, pr *Progress) {
	data, err := encodeProgress(pr)
	if err != nil {
		s.o.Log.Error("progress_lost", "batch", pr.Submission, "id", pr.ItemID, "err", err)
		return
	}
	s.writers[p.id.Index].add(s.life, data)
}

// appendAll appends records in as few calls as their size allows. It repeats calls whose outcome is
// not known: a second copy changes nothing.
func (s *Service) appendAll(ctx context.Context, id store.Partition, records [][]byte) error {
	unknown := false
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) && (n == 0 || size+len(records[n])+4 <= s.o.CallBytes) {
			size += len(records[n]) + 4
			n++
		}
		_, err := s.o.Store.Append(ctx, id, records[:n])
		switch {
		case err == nil:
			records = records[n:]
			continue
		case errors.Is(err, store.ErrUnavailable) && !unknown:
			return &UnavailableError{RetryAfter: storeRetryAfter, Cause: err}
		default:
			unknown = true
			s.o.Log.Warn("batch_append", "partition", id.Index, "outcome", "unknown", "err", err)
		}
		sleep(ctx, appendRetry)
		if ctx.Err() != nil {
			return ErrUnknown
		}
	}
	return nil
}

// find returns the partition that holds a submission. Only after all partitions were read to their
// end is it known that there is none.
func (s *Service) find(ctx context.Context, id string) (*partition, error) {
	if p := s.holding(id); p != nil {
		return p, nil
	}
	errs := make(chan error, len(s.parts))
	for _, p := range s.parts {
		go func() { errs <- p.sync(ctx) }()
	}
	var failed error
	for range s.parts {
		if err := <-errs; err != nil {
			failed = err
		}
	}
	if p := s.holding(id); p != nil {
		return p, nil
	}
	if failed != nil {
		return nil, &UnavailableError{RetryAfter: storeRetryAfter, Cause: failed}
	}
	return nil, ErrNotFound
}

func (s *Service) holding(id string) *partition {
	for _, p := range s.parts {
		p.mu.Lock()
		e := p.book.entries[id]
		p.mu.Unlock()
		if e != nil {
			return p
		}
	}
	return nil
}

// Results returns the results from position after on. It waits for one for at most wait.
func (s *Service) Results(ctx context.Context, id string, after int, wait time.Duration, maxBytes int) (*Page, error) {
	p, err := s.find(ctx, id)
	if err != nil {
		return nil, err
	}
	stale := p.ask(ctx, s.life)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	over := wait <= 0
	for {
		p.mu.Lock()
		e := p.book.entries[id]
		if e == nil {
			p.mu.Unlock()
			return nil, ErrNotFound
		}
		page := e.page(after, maxBytes)
		complete := e.done()
		changed := p.changed
		p.mu.Unlock()
		switch {
		case len(page.Results) > 0 || complete && stale == nil:
			return page, nil
		case stale != nil:
			return nil, &UnavailableError{RetryAfter: storeRetryAfter, Cause: stale}
		case over:
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// page returns the results from position after on, at least one if there is one.
func (e *entry) page(after, maxBytes int) *Page {
	after = max(0, after)
	out := &Page{Total: len(e.sub.Items), Next: after}
	size := 0
	for i := after; i < len(e.results); i++ {
		size += len(e.results[i].Text) + recordOverhead
		if size > maxBytes && len(out.Results) > 0 {
			break
		}
		out.Results = append(out.Results, e.results[i])
	}
	out.Next = after + len(out.Results)
	return out
}

// Item returns the body of an item that is not listed yet.
func (s *Service) Item(ctx context.Context, id, item string) ([]byte, error) {
	p, err := s.find(ctx, id)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.book.entries[id]
	if e == nil || e.items[item] == nil {
		return nil, ErrNotFound
	}
	return e.items[item].Body, nil
}

// End ends a submission: nothing more of it is started.
func (s *Service) End(ctx context.Context, id string) error {
	p, err := s.find(ctx, id)
	if err != nil {
		return err
	}
	p.mu.Lock()
	ended := p.book.entries[id] != nil && p.book.entries[id].ended
	p.mu.Unlock()
	if ended {
		return nil
	}
	data, err := encodeEnd(id)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, submitBudget)
	defer cancel()
	err = s.appendAll(ctx, p.id, [][]byte{data})
	s.o.Log.Info("batch_end", "batch", id, "partition", p.id.Index, "err", err)
	return err
}
