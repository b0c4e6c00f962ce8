package logtail

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

// Limits of reads.
const (
	// MaxLogWait, MaxPeerWait and MaxRelayWait are the wait times of long polls, by kind of source.
	// Membership detects the death of a relay before MaxRelayWait has passed.
	MaxLogWait   = 2 * time.Second
	MaxPeerWait  = 1500 * time.Millisecond
	MaxRelayWait = 2 * time.Second
	// PollTimeoutMargin is how long after the wait time a source may answer before the read fails.
	PollTimeoutMargin = time.Second
	// MaxCaughtUpAge is the maximum time since a reader last read the end of the stream for it to count as
	// up to date.
	MaxCaughtUpAge = 15 * time.Second
	// relayCheckInterval is how often a waiting reader checks that its relay is live, and a waiting
	// Fetch checks the age of the records.
	relayCheckInterval = 500 * time.Millisecond
	// ReadLimit is the maximum number of records in one read of the log.
	ReadLimit = 256
	// RetryMin and RetryMax are the limits of the exponential backoff after failed reads.
	RetryMin = 100 * time.Millisecond
	RetryMax = time.Second
)

// Consumer applies the records of a stream. A Tail calls it from one goroutine at a time and holds no
// lock of its own meanwhile, so that the consumer may call the Tail.
type Consumer interface {
	// Next returns the offset to read next.
	Next() trial.Offset
	// Apply applies the record r.
	Apply(now time.Time, r trial.Record)
	// SetFirstRetained sets the oldest retained offset; records before it can no longer be read.
	SetFirstRetained(now time.Time, first trial.Offset)
	// CaughtUp reports that the consumer has applied all records that existed at time at.
	CaughtUp(at time.Time)
}

// Snapshotter is a Consumer whose state can be sent to a peer.
type Snapshotter interface {
	// Snapshot returns the state, and false if there is none yet.
	Snapshot() (config.Snapshot, bool)
	// Restore replaces the state with s if s is newer, and reports whether it did.
	Restore(s config.Snapshot) bool
}

// Options configure a Tail.
type Options struct {
	Stream   string
	Self     wire.Node
	Strategy Strategy
	Seed     uint64
	Log      trial.Log
	Consumer Consumer
	// Followers returns the live nodes that follow the stream, with or without Self.
	Followers func() []wire.Node
	// RelayWait replaces MaxRelayWait as the wait time of reads from a relay; 0 means MaxRelayWait.
	RelayWait time.Duration
	// CallPeer calls a JSON-RPC method of the peer at address and decodes its result into result.
	CallPeer func(ctx context.Context, address, method string, params, result any) error
	Logger   *slog.Logger
}

// Tail reads one stream, passes its records to a Consumer and serves them to peers.
type Tail struct {
	opts    Options
	planner *Planner

	mu            sync.Mutex
	buffer        buffer
	logEnd        trial.Offset // end of the log, as last reported by a source
	firstRetained trial.Offset
	retention     time.Duration
	caughtUpAt    time.Time // last time at which all records had been applied
	changed       chan struct{}
	source        Source
	fromPeer      bool
	lastErr       string
}

// New returns a tail; Run starts reading.
func New(o Options) *Tail {
	p := NewPlanner(PlannerOptions{Self: o.Self, Strategy: o.Strategy, Seed: o.Seed})
	return &Tail{opts: o, planner: p, changed: make(chan struct{})}
}

// Run reads until ctx is done. It returns nil.
func (t *Tail) Run(ctx context.Context) error {
	backoff := RetryMin
	for ctx.Err() == nil {
		src := t.planner.Plan(time.Now(), t.opts.Followers())
		outcome, err := t.read(ctx, src)
		if ctx.Err() != nil {
			break
		}
		outcome.Err = err
		t.planner.Report(time.Now(), src, outcome)
		t.recordSource(src, err)
		if err == nil {
			backoff = RetryMin
			continue
		}
		sleep(ctx, backoff)
		backoff = min(2*backoff, RetryMax)
	}
	return nil
}

// sleep waits for a random time between d/2 and d, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d/2 + rand.N(d/2+1))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// recordSource stores the source and the error of the last read, and logs a change of source.
func (t *Tail) recordSource(s Source, err error) {
	t.mu.Lock()
	sourceChanged := t.source.Kind != s.Kind || t.source.Node.ID != s.Node.ID
	t.source, t.lastErr = s, ""
	if err != nil {
		t.lastErr = err.Error()
	}
	t.mu.Unlock()
	if sourceChanged {
		t.opts.Logger.Info("log_source_changed", "stream", t.opts.Stream, "source", s.Kind, "peer", s.Node.ID)
	}
}

// read makes one read from src and applies its result.
func (t *Tail) read(ctx context.Context, src Source) (Outcome, error) {
	wait := t.maxWait(src.Kind)
	ctx, cancel := context.WithTimeout(ctx, wait+PollTimeoutMargin)
	defer cancel()
	switch src.Kind {
	case SourceLog:
		return t.readLog(ctx, wait)
	case SourceRelay:
		go t.cancelIfRelayDies(ctx, cancel, src.Node.ID)
	}
	return t.readPeer(ctx, src, wait)
}

// maxWait returns how long a source of kind k may wait for new records; it is 0 until the tail has
// caught up for the first time.
func (t *Tail) maxWait(k SourceKind) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.caughtUpAt.IsZero():
		return 0
	case k == SourceLog:
		return MaxLogWait
	case k == SourcePeer:
		return MaxPeerWait
	}
	return cmp.Or(t.opts.RelayWait, MaxRelayWait)
}

// cancelIfRelayDies calls cancel when the relay with this node ID is no longer live.
func (t *Tail) cancelIfRelayDies(ctx context.Context, cancel context.CancelFunc, id string) {
	tick := time.NewTicker(relayCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if !slices.ContainsFunc(t.opts.Followers(), func(n wire.Node) bool { return n.ID == id }) {
				cancel()
				return
			}
		}
	}
}

func (t *Tail) readLog(ctx context.Context, wait time.Duration) (Outcome, error) {
	from := t.opts.Consumer.Next()
	sent := time.Now()
	res, err := t.opts.Log.Read(ctx, t.opts.Stream, from, ReadLimit, wait.Milliseconds())
	if err != nil {
		return Outcome{}, fmt.Errorf("read stream %s at %d: %w", t.opts.Stream, from, err)
	}
	asOf := sent
	if len(res.Records) == 0 {
		asOf = sent.Add(min(time.Since(sent), wait)) // res.Next was still the end when the wait ended
	}
	t.applyResult(&wire.FetchResult{Records: res.Records, Next: res.Next, First: res.First, RetentionMs: res.RetentionMs}, asOf)
	t.setFromPeer(false)
	return Outcome{}, nil
}

func (t *Tail) readPeer(ctx context.Context, src Source, wait time.Duration) (Outcome, error) {
	from := t.opts.Consumer.Next()
	var res wire.FetchResult
	p := wire.FetchParams{Stream: t.opts.Stream, From: from, WaitMs: wait.Milliseconds()}
	if err := t.opts.CallPeer(ctx, src.Node.StewardAddress, wire.MethodFetch, p, &res); err != nil {
		return Outcome{}, err
	}
	age := time.Duration(res.AgeMs) * time.Millisecond
	t.applyResult(&res, time.Now().Add(-age))
	t.setFromPeer(res.Lateral || src.Kind == SourcePeer)
	return Outcome{Lag: age, FromPeer: res.Lateral}, nil
}

// setFromPeer sets whether the records come from a peer instead of the log or the zone's tree.
func (t *Tail) setFromPeer(fromPeer bool) {
	t.mu.Lock()
	t.fromPeer = fromPeer
	t.mu.Unlock()
}

// applyResult applies the result of a read; res.Next was the end of the log at time asOf.
func (t *Tail) applyResult(res *wire.FetchResult, asOf time.Time) {
	c := t.opts.Consumer
	now := time.Now()
	if res.First > 0 {
		c.SetFirstRetained(now, res.First)
	}
	if s, ok := c.(Snapshotter); ok && res.Snapshot != nil {
		s.Restore(*res.Snapshot)
	}
	for _, r := range res.Records {
		c.Apply(now, r)
	}
	next := c.Next() // outside t.mu: consumers may call the tail while they hold their own lock
	t.mu.Lock()
	for _, r := range res.Records {
		t.buffer.add(r)
	}
	t.firstRetained = max(t.firstRetained, res.First)
	t.logEnd = max(t.logEnd, res.Next)
	t.retention = time.Duration(res.RetentionMs) * time.Millisecond
	caughtUp := next >= t.logEnd
	if caughtUp && asOf.After(t.caughtUpAt) {
		t.caughtUpAt = asOf
	}
	if len(res.Records) > 0 || res.Snapshot != nil {
		close(t.changed)
		t.changed = make(chan struct{})
	}
	t.mu.Unlock()
	if caughtUp {
		c.CaughtUp(asOf)
	}
}

// Retention returns how long the log keeps a record; 0 means forever or not known yet.
func (t *Tail) Retention() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retention
}

// Age returns the time since the consumer last had all records of the log; ok is false if it never
// had.
func (t *Tail) Age(now time.Time) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.caughtUpAt), !t.caughtUpAt.IsZero()
}

// Status is a tail's part of the state dump.
type Status struct {
	Stream    string       `json:"stream"`
	Source    Source       `json:"source"`
	Next      trial.Offset `json:"next"`
	First     trial.Offset `json:"first"`
	AgeMs     int64        `json:"age_ms"`
	LastError string       `json:"last_error,omitempty"`
	Buffered  int          `json:"buffered"`
}

// Status returns the state for the state dump; AgeMs is -1 if the tail never caught up.
func (t *Tail) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Status{Stream: t.opts.Stream, Source: t.source, Next: t.logEnd, First: t.firstRetained, AgeMs: -1, LastError: t.lastErr, Buffered: len(t.buffer.records)}
	if !t.caughtUpAt.IsZero() {
		s.AgeMs = time.Since(t.caughtUpAt).Milliseconds()
	}
	return s
}

// Fetch serves a peer's read. It waits for new records for p.WaitMs, at most MaxRelayWait, and
// returns early when this node is too far behind the log to serve as a source.
func (t *Tail) Fetch(ctx context.Context, p wire.FetchParams) (wire.FetchResult, error) {
	wait := min(time.Duration(p.WaitMs)*time.Millisecond, MaxRelayWait)
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	check := time.NewTicker(relayCheckInterval)
	defer check.Stop()
	for {
		res, changed, err := t.fetchNow(p)
		stale := time.Duration(res.AgeMs)*time.Millisecond > MaxSourceLag
		if err != nil || len(res.Records) > 0 || res.Snapshot != nil || stale {
			return res, err
		}
		select {
		case <-changed:
		case <-check.C:
		case <-timer.C:
			res, _, err = t.fetchNow(p)
			return res, err
		case <-ctx.Done():
			return res, ctx.Err()
		}
	}
}

// fetchNow returns the buffered records or a snapshot without waiting; the channel is closed when
// more is available.
func (t *Tail) fetchNow(p wire.FetchParams) (wire.FetchResult, <-chan struct{}, error) {
	res, changed, buffered, err := t.fetchBuffered(p)
	if err != nil || buffered {
		return res, changed, err
	}
	s, ok := t.opts.Consumer.(Snapshotter)
	if ok {
		if snapshot, exists := s.Snapshot(); exists && snapshot.Revision >= p.From {
			res.Snapshot = &snapshot
			return res, changed, nil
		}
	}
	return res, nil, rpc.Errorf(wire.CodeUnavailable, "stream %s is not kept from %d on here; read the log itself", p.Stream, p.From)
}

// fetchBuffered returns records from the buffer; buffered is false if they do not reach back to
// p.From. The channel is closed when more is available.
func (t *Tail) fetchBuffered(p wire.FetchParams) (res wire.FetchResult, changed <-chan struct{}, buffered bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.caughtUpAt.IsZero() && len(t.buffer.records) == 0 {
		return res, nil, false, rpc.Errorf(wire.CodeNotReady, "stream %s is not read here yet; ask another node", p.Stream)
	}
	res = wire.FetchResult{Next: t.logEnd, RetentionMs: t.retention.Milliseconds(), AgeMs: t.ageMs(), Lateral: t.fromPeer}
	if records, ok := t.buffer.readFrom(p.From, MaxFetchRecords); ok {
		res.Records = records
		return res, t.changed, true, nil
	}
	if p.From >= t.logEnd && !t.caughtUpAt.IsZero() {
		// This node knows of no record from p.From on. First lets the reader of an empty stream see
		// that no earlier record is missing either.
		res.First = t.firstRetained
		return res, t.changed, true, nil
	}
	return res, t.changed, false, nil
}

// ageMs returns the age in milliseconds, and that of one hour for a tail that never caught up, which
// readers take for a stale source.
func (t *Tail) ageMs() int64 {
	if t.caughtUpAt.IsZero() {
		return time.Hour.Milliseconds()
	}
	return time.Since(t.caughtUpAt).Milliseconds()
}
