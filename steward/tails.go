package steward

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/logtail"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

// tails runs one tail for each log stream that this node follows.
type tails struct {
	steward *Steward
	mu      sync.Mutex
	// ctx is nil until run is called.
	ctx     context.Context
	streams map[string]*logtail.Tail
	wg      sync.WaitGroup
}

func newTails(steward *Steward) *tails {
	return &tails{steward: steward, streams: map[string]*logtail.Tail{}}
}

// add starts to follow a stream; if run has not been called yet, its tail starts with run. followers returns
// the live nodes that follow the stream. A relayWait of 0 means the default of package logtail.
func (t *tails) add(stream string, c logtail.Consumer, followers func() []wire.Node, relayWait time.Duration) *logtail.Tail {
	tail := logtail.New(logtail.Options{
		Stream: stream, Self: t.steward.self, Strategy: t.steward.opts.FetchStrategy, Seed: t.steward.seed, Log: t.steward.platformLog, Consumer: c,
		Followers: followers, RelayWait: relayWait, CallPeer: t.steward.longPolls.Call, Logger: t.steward.opts.Log,
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams[stream] = tail
	if t.ctx != nil {
		t.start(tail)
	}
	return tail
}

// start runs a tail on its own goroutine. The caller holds mu.
func (t *tails) start(tail *logtail.Tail) {
	ctx := t.ctx
	t.wg.Go(func() { _ = tail.Run(ctx) }) // Run returns only when ctx ends
}

func (t *tails) run(ctx context.Context) error {
	t.mu.Lock()
	t.ctx = ctx
	for _, tail := range t.streams {
		t.start(tail)
	}
	t.mu.Unlock()
	<-ctx.Done()
	t.wg.Wait()
	return nil
}

// get returns the tail of stream, or nil if this node does not follow it.
func (t *tails) get(stream string) *logtail.Tail {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.streams[stream]
}

// fetch serves the records of a followed stream to peers.
func (t *tails) fetch(ctx context.Context, p wire.FetchParams) (wire.FetchResult, error) {
	tail := t.get(p.Stream)
	if tail == nil {
		return wire.FetchResult{}, rpc.Errorf(wire.CodeUnavailable, "stream %s is not followed here; read the log itself", p.Stream)
	}
	return tail.Fetch(ctx, p)
}

func (t *tails) status() []logtail.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]logtail.Status, 0, len(t.streams))
	for _, tail := range t.streams {
		out = append(out, tail.Status())
	}
	slices.SortFunc(out, func(a, b logtail.Status) int { return strings.Compare(a.Stream, b.Stream) })
	return out
}

// snapshotCheckPeriod is how often the steward checks whether a snapshot is due.
const snapshotCheckPeriod = 500 * time.Millisecond

// refreshSnapshots appends a new snapshot of the tables before the newest one exceeds the log's retention.
func (s *Steward) refreshSnapshots(ctx context.Context) error {
	return runPeriodically(ctx, snapshotCheckPeriod, s.appendDueSnapshot)
}

func (s *Steward) appendDueSnapshot(ctx context.Context) {
	tail := s.tails.get(config.Stream)
	age, ok := tail.Age(time.Now())
	snap, due := s.tables.snapshotDue(time.Now(), tail.Retention())
	if !ok || age > logtail.MaxCaughtUpAge || !due {
		return
	}
	rec, err := config.EncodeSnapshot(snap, uuid.NewString())
	if err != nil {
		s.opts.Log.Warn("snapshot_not_carried", "reason", err)
		return
	}
	actx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	_, err = s.platformLog.Append(actx, config.Stream, []trial.NewRecord{rec})
	if err != nil {
		s.opts.Log.Warn("snapshot_append_unanswered", "revision", snap.Revision, "err", err)
		return
	}
	s.opts.Log.Info("snapshot_carried", "revision", snap.Revision)
}
