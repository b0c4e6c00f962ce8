package batch

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/ibistrail/ibistrail/crashes"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/organisation"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/ratelimit"
	"github.com/ibistrail/ibistrail/store"
	"github.com/ibistrail/ibistrail/targets"
	"github.com/ibistrail/ibistrail/targetstate"
	"github.com/ibistrail/ibistrail/versions"
)

// Times of API calls.
const (
	// submitTimeout limits the time for writing a submission, including retries: callers retry it at another VM.
	submitTimeout = 2 * time.Second
	// storeRetryAfter is the retry delay returned to callers while the store is unavailable: outages last for
	// seconds, but other VMs may reach the store.
	storeRetryAfter = 300 * time.Millisecond
)

// Options configure a Service.
type Options struct {
	VM, AvailabilityZone string
	// Partitions is the number of partitions of the index topic.
	Partitions int
	// MaxRecordBytes limits a record of the log, MaxAppendBytes all records of one append, in bytes.
	MaxRecordBytes, MaxAppendBytes int
	// MaxOpenItemBytes limits the items of open submissions that this VM holds, and beside which it accepts others, in bytes; 0 if that is
	// unlimited.
	MaxOpenItemBytes int64
	// PartitionBytes is how much of a partition the store keeps, in bytes; 0 if that is unlimited.
	PartitionBytes int64
	// Retention is how long submissions stay readable after their acceptance.
	Retention time.Duration
	Log       *slog.Logger
	Metrics   *process.Metrics
	Store     store.Log
	View      *fleet.View
	Client    targets.Client
	Forwarder Forwarder
	Crashes   *crashes.Register
	Limiter   *ratelimit.Limiter
	States    *targetstate.Register
	// OnOpenWork is called, on a goroutine of its own, if this VM has read of open work in a partition for which it does not compete. It may be
	// nil.
	OnOpenWork func()
	// IgnorePrompts chooses engines without regard to the prompts that they hold, for a comparison. The estimates and their
	// counters are kept.
	IgnorePrompts bool
}

// Service accepts, stores and runs batch submissions and returns their results.
type Service struct {
	opts       Options
	ctx        context.Context
	partitions []*partition
	writers    []*writer
	runner     *runner
	// established is the epoch by which this VM places submissions, establishing the call that reads or records it.
	established  atomic.Pointer[establishedEpoch]
	establishing singleflight.Group
	// discoveries wakes up discover.
	discoveries chan struct{}
	// calls counts API calls by outcome.
	calls *expvar.Map
}

// New returns a service that reads no partition yet. Its background work ends with ctx.
func New(ctx context.Context, o Options) *Service {
	s := &Service{opts: o, ctx: ctx, runner: newRunner(o), calls: o.Metrics.SubMap("batch_calls"), discoveries: make(chan struct{}, 1)}
	for i := range o.Partitions {
		id, dp := store.Partition{Topic: IndexTopic, Index: i}, newDataPartition(o.Store, i)
		p := &partition{
			store: o.Store, id: id, data: dp, log: o.Log, retention: 2 * o.Retention, readable: o.Retention, index: newIndexState(), changed: make(chan struct{}), wake: s.runner.wake, openWork: o.OnOpenWork,
		}
		s.partitions = append(s.partitions, p)
		s.writers = append(s.writers, &writer{
			store: o.Store, index: id, data: dp, log: o.Log, maxAppendBytes: o.MaxAppendBytes,
			parts: newDataParts(o.Store, p, o.PartitionBytes, o.Partitions),
		})
	}
	s.runner.appendResult = s.appendResult
	s.runner.appendProgress = s.appendProgress
	s.runner.placeVoid = s.placeVoid
	s.runner.writer = o.VM + "/" + strconv.FormatInt(time.Now().UnixNano(), 36)
	return s
}

// LoadObserver returns the receiver of notifications about weight loads.
func (s *Service) LoadObserver() versions.LoadObserver { return s.runner }

// Run runs items, and discovers open work, until the service's context ends.
func (s *Service) Run() {
	go s.discover()
	s.runner.run(s.ctx)
}

// SetOwnedPartitions sets the partitions whose submissions this VM runs, by index; nil for none.
func (s *Service) SetOwnedPartitions(ownedIndexes map[int]bool) {
	owned := map[*partition]bool{}
	for i, p := range s.partitions {
		if ownedIndexes[i] {
			owned[p] = true
		}
		p.setOwned(s.ctx, owned[p])
	}
	s.runner.setOwned(owned)
}

// appendResult queues a result. text is empty if the result has none or refers to data that was already written.
func (s *Service) appendResult(p *partition, submissionID string, result resultMeta, text string) {
	entry := pending{record: record{Kind: recordResult, ID: submissionID, Result: &result}}
	if len(text) > s.opts.MaxAppendBytes {
		s.opts.Log.Error("result_too_large", "batch", submissionID, "id", result.ItemID, "bytes", len(text), "limit", s.opts.MaxAppendBytes)
		result, text = resultMeta{ItemID: result.ItemID, Abandoned: true}, "" // the store would refuse it for good, and all results behind it wait
	}
	if text != "" {
		entry.data = splitRecord([]byte(text), s.opts.MaxRecordBytes)
		entry.setSpan = func(r *record, text span) { r.Result.Text = text }
	}
	s.writers[p.id.Index].add(s.ctx, entry)
}

// appendProgress queues parts of unfinished texts. Each has data records of its own, so that a successor reads only those that it
// needs, but they share records of the index.
func (s *Service) appendProgress(p *partition, submissionID string, parts []*Progress) {
	limit := s.opts.MaxAppendBytes / 2 // results must not wait long behind them
	var items []string
	var data [][]byte
	size := 0
	flush := func() {
		if len(items) > 0 {
			s.appendParts(p, submissionID, items, data)
		}
		items, data, size = nil, nil, 0
	}
	for _, part := range parts {
		encoded, err := encodeProgress(part, limit)
		if err != nil {
			s.opts.Log.Error("progress_lost", "batch", submissionID, "id", part.ItemID, "err", err)
			continue
		}
		for _, d := range encoded {
			if size+len(d) > limit || len(items) == maxSavedParts {
				flush()
			}
			items, data, size = append(items, part.ItemID), append(data, d), size+len(d)
		}
	}
	flush()
}

// maxSavedParts limits the parts in one record of the index, so that the record stays below the store's limit.
const maxSavedParts = 500

// appendParts queues encoded parts of items' texts with one record of the index.
func (s *Service) appendParts(p *partition, submissionID string, items []string, parts [][]byte) {
	saved := &savedParts{Items: items}
	entry := pending{
		record: record{Kind: recordProgress, ID: submissionID}, progress: true,
		setSpan: func(r *record, data span) {
			if saved.Offset = data.Offset; partOf(data.Offset) == mainPart {
				r.SavedParts = saved
			} else {
				r.OverflowParts = saved
			}
		},
	}
	var counts []int
	for _, part := range parts {
		records := splitRecord(part, s.opts.MaxRecordBytes)
		counts = append(counts, len(records))
		entry.data = append(entry.data, records...)
	}
	if len(entry.data) > len(items) {
		saved.Counts = counts
	}
	s.writers[p.id.Index].add(s.ctx, entry)
}

// PartitionOf returns the partition that holds all submissions to a pool, so that one VM places the items of all
// steps that share the pool's engines.
func PartitionOf(pool string, partitions int) store.Partition {
	return store.Partition{Topic: IndexTopic, Index: store.PartitionIndex(pool, partitions)}
}

func (s *Service) partitionOf(pool string) *partition {
	return s.partitions[PartitionOf(pool, len(s.partitions)).Index]
}

// Submit stores a submission. It returns nil once the submission is durable, also if it was accepted
// before. Errors are *InvalidError, *UnavailableError, ErrOutcomeUnknown, or ErrNotFound if another organisation has submitted a batch
// with this ID.
func (s *Service) Submit(ctx context.Context, sub *Submission) error {
	if err := sub.Validate(); err != nil {
		return err
	}
	if accepted, err := s.accepted(sub); accepted {
		return err // whatever has become of its route
	}
	// The place and its epoch follow from one version of the tables, which may be newer than that by which the caller was admitted.
	snap := s.opts.View.Get()
	var route *fleet.Route
	if snap.Tables != nil {
		route = snap.Tables.Match(sub.Host, sub.Path)
	}
	if route == nil || !route.Batch {
		return &UnavailableError{RetryAfter: storeRetryAfter, Cause: errNoRoute}
	}
	p := s.partitionOf(route.Pool)
	sub.Route = newAcceptedRoute(route)
	sub.NewestVersion = newestVersion(snap, route.Pool, sub.Model)
	for i := range sub.Items {
		sub.ExpectedTokens += int64(sub.Items[i].ExpectedTokens)
	}
	items, err := json.Marshal(sub.Items)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	start := time.Now()
	if err = s.checkOpenItems(ctx, int64(len(items))); err == nil {
		err = s.submitOnce(ctx, snap, sub, splitRecord(items, s.opts.MaxRecordBytes))
	}
	s.countCall("submit", err)
	s.opts.Log.Info("batch_submit", "batch", sub.ID, "partition", p.id.Index, "step", sub.Step, "organisation", sub.Organisation, "items", len(sub.Items),
		"ms", time.Since(start).Milliseconds(), "err", err)
	return err
}

// submitOnce writes a submission to the partition where it belongs, unless it was accepted before.
func (s *Service) submitOnce(ctx context.Context, snap *fleet.Snapshot, sub *Submission, parts [][]byte) error {
	epoch, epochErr := s.epoch(ctx, snap)
	if accepted, err := s.accepted(sub); accepted {
		return err // it stays accepted, whether or not the epoch is known
	}
	if epochErr != nil {
		return epochErr
	}
	p := s.destination(snap.Tables, &sub.Head)
	err := s.accept(ctx, p, sub, parts, epoch)
	if err == nil && sub.Organisation != "" {
		return s.checkFirst(ctx, p, sub)
	}
	return err
}

// accepted reports whether a submission with this ID is among the records read so far. The error is ErrNotFound if it is another
// organisation's.
func (s *Service) accepted(sub *Submission) (bool, error) {
	caller := organisation.Caller{Organisation: sub.Organisation}
	p, owner := s.findLocal(caller, sub.ID)
	if p == nil && owner != "" {
		s.refuseOther(caller, sub.ID, owner)
		return true, ErrNotFound
	}
	return p != nil, nil
}

// ownerCheckTimeout limits the time for reading back whose submission with an ID is the first.
const ownerCheckTimeout = 300 * time.Millisecond

// checkFirst returns ErrNotFound if another organisation submitted a batch with this ID before, as this VM may not have known. If the log
// can't be read in time, it returns nil: the submission has no effect then, and its results are not found.
func (s *Service) checkFirst(ctx context.Context, p *partition, sub *Submission) error {
	ctx, cancel := context.WithTimeout(ctx, ownerCheckTimeout)
	defer cancel()
	if err := p.sync(ctx); err != nil {
		s.opts.Log.Warn("batch_owner_unread", "batch", sub.ID, "partition", p.id.Index, "err", err)
		return nil
	}
	_, err := s.accepted(sub)
	return err
}

// accept writes a submission's items and then its index record, which makes it valid.
func (s *Service) accept(ctx context.Context, p *partition, sub *Submission, parts [][]byte, epoch routingEpoch) error {
	var items []span
	var dataBytes int64
	part := s.writers[p.id.Index].parts.chooseItems(sub.ID, parts)
	for len(parts) > 0 {
		n, size := 0, 0
		for n < len(parts) && (n == 0 || size+len(parts[n])+recordLengthBytes <= s.opts.MaxAppendBytes) {
			size += len(parts[n]) + recordLengthBytes
			n++
		}
		offset, err := s.appendAll(ctx, dataPart(p.id.Index, part), parts[:n])
		if errors.Is(err, ErrOutcomeUnknown) {
			// Items without an index record have no effect.
			return &UnavailableError{RetryAfter: storeRetryAfter, Cause: err}
		}
		if err != nil {
			return err
		}
		items = append(items, span{Offset: location(part, offset), Count: n})
		for _, r := range parts[:n] {
			dataBytes += int64(len(r))
		}
		parts = parts[n:]
	}
	r, err := json.Marshal(record{
		Kind: recordSubmit, ID: sub.ID, Epoch: &epoch, Head: &sub.Head, Total: len(sub.Items), Items: items, DataBytes: dataBytes,
	})
	if err != nil {
		return err
	}
	_, err = s.appendAll(ctx, p.id, [][]byte{r})
	return err
}

// newestVersion returns the newest version of a model that was named or is run by an engine of the pool.
func newestVersion(snap *fleet.Snapshot, pool, model string) int64 {
	newest := snap.NamedVersions[model]
	for _, in := range snap.Pool(pool) {
		newest = max(newest, in.Versions[model])
	}
	return newest
}

// Handover saves all unfinished texts, so that another VM can continue them. It blocks until they are saved, with all results before them, but
// for at most handoverTimeout. It reports whether they are saved. Items go on meanwhile.
func (s *Service) Handover() bool {
	for _, u := range s.runner.takeUnsaved() {
		s.appendProgress(u.partition, u.submissionID, u.parts)
	}
	deadline := time.Now().Add(handoverTimeout)
	saved := true
	for _, w := range s.writers {
		n := w.queued()
		for !w.hasWritten(n) && time.Now().Before(deadline) {
			time.Sleep(handoverPollInterval)
		}
		saved = saved && w.hasWritten(n)
	}
	return saved
}

// handoverTimeout limits the time for saving unfinished texts at a planned shutdown.
const handoverTimeout = 800 * time.Millisecond

// handoverPollInterval is how often a handover checks whether its texts are saved.
const handoverPollInterval = 5 * time.Millisecond

// appendAll appends records with consecutive offsets and returns the offset of the first. It retries calls with an
// unknown outcome until ctx ends: a second copy of a record has no effect. The error is an *UnavailableError if the
// records were certainly not written, and ErrOutcomeUnknown otherwise.
func (s *Service) appendAll(ctx context.Context, id store.Partition, records [][]byte) (int64, error) {
	unknown := false
	for {
		offset, err := s.opts.Store.Append(ctx, id, records)
		switch {
		case err == nil:
			return offset, nil
		case errors.Is(err, store.ErrUnavailable) && !unknown:
			return 0, &UnavailableError{RetryAfter: storeRetryAfter, Cause: err}
		default:
			unknown = true
			s.opts.Log.Warn("batch_append", "topic", id.Topic, "partition", id.Index, "outcome", "unknown", "err", err)
		}
		process.Sleep(ctx, appendRetryDelay)
		if ctx.Err() != nil {
			return 0, ErrOutcomeUnknown
		}
	}
}

// recordLengthBytes is the size of a record's length prefix in an append.
const recordLengthBytes = 4

// Item returns the body of an item of an open submission, or ErrNotFound.
func (s *Service) Item(ctx context.Context, c organisation.Caller, id, itemID string) ([]byte, error) {
	p, err := s.find(ctx, c, id)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	sub := p.index.submissions[id]
	if sub == nil || sub.done() {
		p.mu.Unlock()
		return nil, ErrNotFound
	}
	it, loaded, spans := sub.items[itemID], sub.items != nil, sub.itemSpans
	p.mu.Unlock()
	if loaded {
		if it == nil {
			return nil, ErrNotFound
		}
		return it.Body, nil
	}
	items, err := p.data.readItems(ctx, spans)
	if err != nil {
		return nil, &UnavailableError{RetryAfter: storeRetryAfter, Cause: err}
	}
	for i := range items {
		if items[i].ID == itemID {
			return items[i].Body, nil
		}
	}
	return nil, ErrNotFound
}

// End ends a submission: no more of its items are started, and running ones are canceled.
func (s *Service) End(ctx context.Context, c organisation.Caller, id string) error {
	p, err := s.find(ctx, c, id)
	if err != nil {
		return err
	}
	p.mu.Lock()
	ended := p.index.submissions[id] != nil && p.index.submissions[id].ended
	p.mu.Unlock()
	if ended {
		return nil
	}
	data, err := json.Marshal(record{Kind: recordEnd, ID: id})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	_, err = s.appendAll(ctx, p.id, [][]byte{data})
	s.countCall("end", err)
	s.opts.Log.Info("batch_end", "batch", id, "partition", p.id.Index, "err", err)
	return err
}

func (s *Service) countCall(call string, err error) {
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
