package logtail

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/matryer/is"
)

// stream is an in-memory log with one stream. Records before first have expired.
type stream struct {
	mu      sync.Mutex
	records []trial.Record
	first   trial.Offset
}

func (s *stream) Append(_ context.Context, _ string, rs []trial.NewRecord) (trial.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rs {
		s.records = append(s.records, trial.Record{Offset: trial.Offset(len(s.records) + 1), ID: r.ID, Data: r.Data})
	}
	return trial.Offset(len(s.records)), nil
}

func (s *stream) Read(_ context.Context, _ string, from trial.Offset, limit int, _ int64) (*trial.ReadResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := &trial.ReadResponse{First: max(s.first, 1), Next: trial.Offset(len(s.records) + 1)}
	for i := max(from, res.First); i < res.Next && len(res.Records) < limit; i++ {
		res.Records = append(res.Records, s.records[i-1])
	}
	return res, nil
}

// consumer records the reported first offsets and the next offset to read.
type consumer struct {
	next          trial.Offset
	firstRetained []trial.Offset
}

func (c *consumer) Next() trial.Offset { return c.next }
func (c *consumer) Apply(_ time.Time, r trial.Record) {
	if r.Offset == c.next {
		c.next++
	}
}
func (c *consumer) SetFirstRetained(_ time.Time, first trial.Offset) {
	c.firstRetained = append(c.firstRetained, first)
	c.next = max(c.next, first)
}
func (c *consumer) CaughtUp(time.Time) {}

// newTestTails returns a tail that reads the log s, one that uses the first as its relay, and the
// consumer of the second.
func newTestTails(s *stream) (root, leaf *Tail, leafConsumer *consumer) {
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	root = New(Options{Stream: "s", Self: node("a1", "a"), Log: s, Consumer: &consumer{next: 1}, Logger: quiet})
	leafConsumer = &consumer{next: 1}
	leaf = New(Options{Stream: "s", Self: node("a2", "a"), Log: s, Consumer: leafConsumer, Logger: quiet, Followers: func() []wire.Node { return []wire.Node{node("a1", "a")} },
		CallPeer: func(ctx context.Context, _, _ string, params, result any) error {
			res, err := root.Fetch(ctx, params.(wire.FetchParams))
			*result.(*wire.FetchResult) = res
			return err
		}})
	return root, leaf, leafConsumer
}

func read(t *testing.T, tail *Tail, k SourceKind) error {
	t.Helper()
	_, err := tail.read(t.Context(), Source{Kind: k, Node: node("a1", "a")})
	return err
}

func TestRelayReportsFirstOffsetOfEmptyStream(t *testing.T) {
	is := is.New(t)
	root, leaf, at := newTestTails(&stream{})
	is.True(read(t, leaf, SourceRelay) != nil) // the relay has read nothing yet
	is.NoErr(read(t, root, SourceLog))
	is.NoErr(read(t, leaf, SourceRelay))
	is.Equal(at.firstRetained, []trial.Offset{1})
}

func TestRelayForwardsRecords(t *testing.T) {
	is := is.New(t)
	s := &stream{}
	root, leaf, at := newTestTails(s)
	is.NoErr(read(t, root, SourceLog))
	_, err := s.Append(t.Context(), "s", []trial.NewRecord{{ID: "1", Data: json.RawMessage("1")}, {ID: "2", Data: json.RawMessage("2")}})
	is.NoErr(err)
	is.NoErr(read(t, root, SourceLog))
	is.NoErr(read(t, leaf, SourceRelay))
	is.Equal(at.next, trial.Offset(3))
	age, ok := leaf.Age(time.Now())
	is.True(ok && age < MaxSourceLag)
}

func TestRelayRejectsReadBeforeItsBuffer(t *testing.T) {
	is := is.New(t)
	s := &stream{first: 3}
	_, err := s.Append(t.Context(), "s", []trial.NewRecord{{ID: "1"}, {ID: "2"}, {ID: "3"}})
	is.NoErr(err)
	root, leaf, at := newTestTails(s)
	is.NoErr(read(t, root, SourceLog))
	is.True(read(t, leaf, SourceRelay) != nil)
	is.NoErr(read(t, leaf, SourceLog)) // the log reports its first offset
	is.Equal(at.next, trial.Offset(4))
	is.Equal(at.firstRetained, []trial.Offset{3})
}

// retentionCaller is a consumer whose Next calls Tail.Retention, as the steward's consumers do while
// they hold their own lock. A tail that called Next under its lock would deadlock.
type retentionCaller struct {
	consumer
	tail *Tail
}

func (a *retentionCaller) Next() trial.Offset {
	a.tail.Retention()
	return a.next
}

func TestConsumerMayCallTailWithoutDeadlock(t *testing.T) {
	is := is.New(t)
	a := &retentionCaller{consumer: consumer{next: 1}}
	a.tail = New(Options{Stream: "s", Log: &stream{}, Consumer: a, Logger: slog.New(slog.DiscardHandler)})
	done := make(chan error, 1)
	go func() { done <- read(t, a.tail, SourceLog) }()
	select {
	case err := <-done:
		is.NoErr(err)
	case <-time.After(10 * time.Second):
		t.Fatal("read did not return within 10 s: the tail calls its consumer while it holds its lock")
	}
}
