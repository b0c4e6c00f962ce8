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

// Bounds of reads.
const (
	// LogWait, PeerWait and RelayWait are how long each kind of source may wait for new records. A
	// relay that dies is noticed by membership before RelayWait is over.
	LogWait   = 2 * time.Second
	PeerWait  = 1500 * time.Millisecond
	RelayWait = 2 * time.Second
	// PollSlack is how long an answer may take beyond that before the source counts as stalled.
	PollSlack = time.Second
	// FreshFor is how long ago a reader that follows the stream has read its end at most.
	FreshFor = 15 * time.Second
	// relayCheck is how often a waiting reader looks whether its relay still lives.
	relayCheck = 500 * time.Millisecond
	// ReadLimit bounds the records of one read.
	ReadLimit = 256
	// RetryMin and RetryMax bound the pause after a failed read.
	RetryMin = 100 * time.Millisecond
	RetryMax = time.Second
)

// Consumer applies the records of a stream. It is called by one goroutine at a time.
type Consumer interface {
	// Next returns the offset to read next.
	Next() trial.Offset
	// Apply takes one record.
	Apply(now time.Time, r trial.Record)
	// Missed tells that the records before first are gone.
	Missed(now time.Time, first trial.Offset)
	// CaughtUp tells that the consumer had applied all records that existed at a time.
	CaughtUp(at time.Time)
}

// Snapshotter is a Consumer whose state can be handed to a peer.
type Snapshotter interface {
	// Snapshot returns the state and whether there is one.
	Snapshot() (config.Snapshot, bool)
	// Restore takes a newer state and tells whether it did.
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
	// Live returns the live stewards.
	Live func() []wire.Node
	// RelayWait replaces the constant where it is not 0.
	RelayWait time.Duration
	// Call calls a method of a peer.
	Call   func(ctx context.Context, address, method string, params, result any) error
	Logger *slog.Logger
}

// Tail follows one stream and serves what it has read to peers.
type Tail struct {
	opts    Options
	planner *Planner

	mu        sync.Mutex
	buf       buffer
	next      trial.Offset // end of the log as last heard
	first     trial.Offset
	retention time.Duration
	freshAt   time.Time // when next was the end of the log
	changed   chan struct{}
	source    Source
	lateral   bool
	lastErr   string
}

// New returns a tail that has read nothing.
func New(o Options) *Tail {
	p := NewPlanner(PlannerOptions{Self: o.Self, Strategy: o.Strategy, Seed: o.Seed})
	return &Tail{opts: o, planner: p, changed: make(chan struct{})}
}

// Run reads until ctx ends.
func (t *Tail) Run(ctx context.Context) error {
	backoff := RetryMin
	for ctx.Err() == nil {
		src := t.planner.Plan(time.Now(), t.opts.Live())
		out, err := t.read(ctx, src)
		if ctx.Err() != nil {
			break
		}
		out.Err = err
		t.planner.Report(time.Now(), src, out)
		t.noteSource(src, err)
		if err == nil {
			backoff = RetryMin
			continue
		}
		pause(ctx, backoff)
		backoff = min(2*backoff, RetryMax)
	}
	return nil
}

// pause waits for d with full jitter, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d/2 + rand.N(d/2+1))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (t *Tail) noteSource(s Source, err error) {
	t.mu.Lock()
	moved := t.source.Kind != s.Kind || t.source.Node.ID != s.Node.ID
	t.source, t.lastErr = s, ""
	if err != nil {
		t.lastErr = err.Error()
	}
	t.mu.Unlock()
	if moved {
		t.opts.Logger.Info("log_source_changed", "stream", t.opts.Stream, "source", s.Kind, "peer", s.Node.ID)
	}
}

// read asks src once and applies what it answers.
func (t *Tail) read(ctx context.Context, src Source) (Outcome, error) {
	wait := t.wait(src.Kind)
	ctx, cancel := context.WithTimeout(ctx, wait+PollSlack)
	defer cancel()
	switch src.Kind {
	case SourceLog:
		return t.readLog(ctx, wait)
	case SourceRelay:
		go t.watchRelay(ctx, cancel, src.Node.ID)
	}
	return t.readPeer(ctx, src, wait)
}

// wait returns how long a source may wait for new records: not at all until the end was read once.
func (t *Tail) wait(k SourceKind) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.freshAt.IsZero():
		return 0
	case k == SourceLog:
		return LogWait
	case k == SourcePeer:
		return PeerWait
	}
	return cmp.Or(t.opts.RelayWait, RelayWait)
}

// watchRelay gives a read up when its relay does not count as living any more.
func (t *Tail) watchRelay(ctx context.Context, cancel context.CancelFunc, id string) {
	tick := time.NewTicker(relayCheck)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if !slices.ContainsFunc(t.opts.Live(), func(n wire.Node) bool { return n.ID == id }) {
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
	at := sent
	if len(res.Records) == 0 {
		at = sent.Add(min(time.Since(sent), wait)) // the log has waited so long
	}
	t.take(&wire.FetchResult{Records: res.Records, Next: res.Next, First: res.First, RetentionMs: res.RetentionMs}, at)
	t.setLateral(false)
	return Outcome{}, nil
}

func (t *Tail) readPeer(ctx context.Context, src Source, wait time.Duration) (Outcome, error) {
	from := t.opts.Consumer.Next()
	var res wire.FetchResult
	p := wire.FetchParams{Stream: t.opts.Stream, From: from, WaitMs: wait.Milliseconds()}
	if err := t.opts.Call(ctx, src.Node.StewardAddress, wire.MethodFetch, p, &res); err != nil {
		return Outcome{}, err
	}
	age := time.Duration(res.AgeMs) * time.Millisecond
	t.take(&res, time.Now().Add(-age))
	t.setLateral(res.Lateral || src.Kind == SourcePeer)
	return Outcome{Age: age, Lateral: res.Lateral}, nil
}

// setLateral notes whether this node reads the log along its zone's tree, or from a peer.
func (t *Tail) setLateral(lateral bool) {
	t.mu.Lock()
	t.lateral = lateral
	t.mu.Unlock()
}

// take applies an answer whose Next was the end of the log at a time.
func (t *Tail) take(res *wire.FetchResult, at time.Time) {
	c := t.opts.Consumer
	now := time.Now()
	if res.First > 0 {
		c.Missed(now, res.First)
	}
	if s, ok := c.(Snapshotter); ok && res.Snapshot != nil {
		s.Restore(*res.Snapshot)
	}
	for _, r := range res.Records {
		c.Apply(now, r)
	}
	next := c.Next() // a consumer asks the tail under its own lock
	t.mu.Lock()
	for _, r := range res.Records {
		t.buf.add(r)
	}
	t.first = max(t.first, res.First)
	t.next = max(t.next, res.Next)
	t.retention = time.Duration(res.RetentionMs) * time.Millisecond
	caughtUp := next >= t.next
	if caughtUp && at.After(t.freshAt) {
		t.freshAt = at
	}
	if len(res.Records) > 0 || res.Snapshot != nil {
		close(t.changed)
		t.changed = make(chan struct{})
	}
	t.mu.Unlock()
	if caughtUp {
		c.CaughtUp(at)
	}
}

// Retention returns how long the log keeps a record; 0 means for ever, or not known yet.
func (t *Tail) Retention() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retention
}

// Age returns how long ago the tail had read all there was; ok is false if it never had.
func (t *Tail) Age(now time.Time) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.freshAt), !t.freshAt.IsZero()
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

// Status returns what the tail reads and from whom; AgeMs is -1 if it never caught up.
func (t *Tail) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Status{Stream: t.opts.Stream, Source: t.source, Next: t.next, First: t.first, AgeMs: -1, LastError: t.lastErr, Buffered: len(t.buf.records)}
	if !t.freshAt.IsZero() {
		s.AgeMs = time.Since(t.freshAt).Milliseconds()
	}
	return s
}

// Fetch answers a peer's read, waiting for new records as long as it asks, at most RelayWait;
// it answers at once when this node is out of touch with the log.
func (t *Tail) Fetch(ctx context.Context, p wire.FetchParams) (wire.FetchResult, error) {
	wait := min(time.Duration(p.WaitMs)*time.Millisecond, RelayWait)
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	check := time.NewTicker(relayCheck)
	defer check.Stop()
	for {
		res, changed, err := t.fetchNow(p)
		stale := time.Duration(res.AgeMs)*time.Millisecond > MaxAge
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

// fetchNow answers with what is known now; the channel is closed when there is more.
func (t *Tail) fetchNow(p wire.FetchParams) (wire.FetchResult, <-chan struct{}, error) {
	res, changed, kept, err := t.kept(p)
	if err != nil || kept {
		return res, changed, err
	}
	s, ok := t.opts.Consumer.(Snapshotter)
	if ok {
		if snapshot, has := s.Snapshot(); has && snapshot.Revision >= p.From {
			res.Snapshot = &snapshot
			return res, changed, nil
		}
	}
	return res, nil, rpc.Errorf(wire.CodeUnavailable, "stream %s is not kept from %d on here; read the log itself", p.Stream, p.From)
}

// kept answers from the kept records; it is false where they do not reach back to what is asked for.
func (t *Tail) kept(p wire.FetchParams) (res wire.FetchResult, changed <-chan struct{}, kept bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.freshAt.IsZero() && len(t.buf.records) == 0 {
		return res, nil, false, rpc.Errorf(wire.CodeNotReady, "stream %s is not read here yet; ask another node", p.Stream)
	}
	res = wire.FetchResult{Next: t.next, RetentionMs: t.retention.Milliseconds(), AgeMs: t.ageMs(), Lateral: t.lateral}
	if records, ok := t.buf.from(p.From, MaxFetchRecords); ok {
		res.Records = records
		return res, t.changed, true, nil
	}
	if p.From >= t.next && !t.freshAt.IsZero() {
		// Nothing after p.From exists as far as this node knows; a reader of an empty stream learns
		// from First that nothing is missing before it either.
		res.First = t.first
		return res, t.changed, true, nil
	}
	return res, t.changed, false, nil
}

// ageMs returns the age in milliseconds; a tail that never caught up is as old as can be told.
func (t *Tail) ageMs() int64 {
	if t.freshAt.IsZero() {
		return time.Hour.Milliseconds()
	}
	return time.Since(t.freshAt).Milliseconds()
}
