package batch

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"log/slog"
	"strconv"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
	"github.com/ibistrail/ibistrail/targets"
	"github.com/ibistrail/ibistrail/versions"
)

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
	Metrics   *process.Metrics
	Store     store.Log
	View      *fleet.View
	Client    targets.Client
	Forwarder Forwarder
}

// Service takes, keeps, runs and lists batch submissions.
type Service struct {
	o       Options
	life    context.Context
	parts   []*partition
	writers []*writer
	runner  *runner
	// calls counts callers' calls by outcome.
	calls *expvar.Map
}

// New returns a service that follows nothing yet; its work ends with life.
func New(life context.Context, o Options) *Service {
	s := &Service{o: o, life: life, runner: newRunner(o), calls: o.Metrics.SubMap("batch_calls")}
	for i := range o.Partitions {
		id, d := store.Partition{Topic: Topic, Index: i}, newData(o.Store, i)
		s.parts = append(s.parts, &partition{
			store: o.Store, id: id, data: d, log: o.Log, keep: 2 * o.Keep, book: newBook(), changed: make(chan struct{}), wake: s.runner.wake,
		})
		s.writers = append(s.writers, &writer{store: o.Store, index: id, data: d, log: o.Log, limit: o.CallBytes})
	}
	s.runner.list = s.list
	s.runner.save = s.save
	s.runner.writer = o.VM + "/" + strconv.FormatInt(time.Now().UnixNano(), 36)
	return s
}

// Loads returns what has to be told of loads of weight versions.
func (s *Service) Loads() versions.Loads { return s.runner }

// Run runs items until the service's life ends.
func (s *Service) Run() { s.runner.run(s.life) }

// Own sets the partitions whose submissions this VM runs, by index.
func (s *Service) Own(held map[int]bool) {
	owned := map[*partition]bool{}
	for i, p := range s.parts {
		if held[i] {
			owned[p] = true
		}
		p.own(s.life, owned[p])
	}
	s.runner.own(owned)
}

// list appends a result. A text that stands in the data topic already is not written again.
func (s *Service) list(p *partition, submission string, l listing, text string) {
	w := pending{record: record{Kind: recordResult, ID: submission, Result: &l}}
	if text != "" {
		w.data = split([]byte(text), s.o.RecordBytes)
		w.set = func(r *record, text span) { r.Result.Text = text }
	}
	s.writers[p.id.Index].add(s.life, w)
}

// save appends a part of an unfinished text.
func (s *Service) save(p *partition, submission string, pr *Progress) {
	data, err := json.Marshal(pr)
	if err != nil {
		s.o.Log.Error("progress_lost", "batch", submission, "id", pr.ItemID, "err", err)
		return
	}
	s.writers[p.id.Index].add(s.life, pending{
		record: record{Kind: recordProgress, ID: submission, Saved: &saving{ItemID: pr.ItemID}},
		data:   split(data, s.o.RecordBytes),
		set:    func(r *record, data span) { r.Saved.Data = data },
	})
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
	for i := range sub.Items {
		sub.ExpectedTokens += int64(sub.Items[i].ExpectedTokens)
	}
	p.mu.Lock()
	known := p.book.entries[sub.ID] != nil
	p.mu.Unlock()
	if known {
		return nil
	}
	items, err := json.Marshal(sub.Items)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, submitBudget)
	defer cancel()
	began := time.Now()
	err = s.accept(ctx, p, sub, split(items, s.o.RecordBytes))
	s.count("submit", err)
	s.o.Log.Info("batch_submit", "batch", sub.ID, "partition", p.id.Index, "step", sub.Step, "items", len(sub.Items),
		"ms", time.Since(began).Milliseconds(), "err", err)
	return err
}

// accept writes a submission's items and then its record in the index, which decides.
func (s *Service) accept(ctx context.Context, p *partition, sub *Submission, parts [][]byte) error {
	var items []span
	for len(parts) > 0 {
		n, size := 0, 0
		for n < len(parts) && (n == 0 || size+len(parts[n])+lengthBytes <= s.o.CallBytes) {
			size += len(parts[n]) + lengthBytes
			n++
		}
		offset, err := s.appendAll(ctx, p.data.id, parts[:n])
		if errors.Is(err, ErrUnknown) {
			// Items without a record in the index are nothing.
			return &UnavailableError{RetryAfter: storeRetryAfter, Cause: err}
		}
		if err != nil {
			return err
		}
		items = append(items, span{Offset: offset, Count: n})
		parts = parts[n:]
	}
	r, err := json.Marshal(record{
		Kind: recordSubmit, ID: sub.ID, Head: &sub.Head, Total: len(sub.Items), Items: items,
	})
	if err != nil {
		return err
	}
	_, err = s.appendAll(ctx, p.id, [][]byte{r})
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
		s.save(w.part, w.submission, w.progress)
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

// appendAll appends records that must follow each other, and returns the offset of the first. It
// repeats calls whose outcome is not known: a second copy changes nothing.
func (s *Service) appendAll(ctx context.Context, id store.Partition, records [][]byte) (int64, error) {
	unknown := false
	for {
		offset, err := s.o.Store.Append(ctx, id, records)
		switch {
		case err == nil:
			return offset, nil
		case errors.Is(err, store.ErrUnavailable) && !unknown:
			return 0, &UnavailableError{RetryAfter: storeRetryAfter, Cause: err}
		default:
			unknown = true
			s.o.Log.Warn("batch_append", "topic", id.Topic, "partition", id.Index, "outcome", "unknown", "err", err)
		}
		process.Sleep(ctx, appendRetry)
		if ctx.Err() != nil {
			return 0, ErrUnknown
		}
	}
}

// lengthBytes is what the length of a record takes in an append.
const lengthBytes = 4

// Item returns the body of an item that is not listed yet.
func (s *Service) Item(ctx context.Context, id, item string) ([]byte, error) {
	p, err := s.find(ctx, id)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	e := p.book.entries[id]
	if e == nil || e.done() {
		p.mu.Unlock()
		return nil, ErrNotFound
	}
	it, loaded, from := e.items[item], e.items != nil, e.data
	p.mu.Unlock()
	if loaded {
		if it == nil {
			return nil, ErrNotFound
		}
		return it.Body, nil
	}
	items, err := p.data.items(ctx, from)
	if err != nil {
		return nil, &UnavailableError{RetryAfter: storeRetryAfter, Cause: err}
	}
	for i := range items {
		if items[i].ID == item {
			return items[i].Body, nil
		}
	}
	return nil, ErrNotFound
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
	data, err := json.Marshal(record{Kind: recordEnd, ID: id})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, submitBudget)
	defer cancel()
	_, err = s.appendAll(ctx, p.id, [][]byte{data})
	s.count("end", err)
	s.o.Log.Info("batch_end", "batch", id, "partition", p.id.Index, "err", err)
	return err
}

// count counts a call by its outcome.
func (s *Service) count(call string, err error) {
	outcome := "ok"
	var unavailable *UnavailableError
	switch {
	case errors.As(err, &unavailable):
		outcome = "refused"
	case err != nil:
		outcome = "unknown"
	}
	s.calls.Add(call+"."+outcome, 1)
}
