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

// stream is a log with one stream.
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

// consumer notes what it is told.
type consumer struct {
	next   trial.Offset
	missed []trial.Offset
}

func (c *consumer) Next() trial.Offset { return c.next }
func (c *consumer) Apply(_ time.Time, r trial.Record) {
	if r.Offset == c.next {
		c.next++
	}
}
func (c *consumer) Missed(_ time.Time, first trial.Offset) {
	c.missed = append(c.missed, first)
	c.next = max(c.next, first)
}
func (c *consumer) CaughtUp(time.Time) {}

// tails returns a tail that reads s itself and one that reads through it.
func tails(s *stream) (root, leaf *Tail, at *consumer) {
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	root = New(Options{Stream: "s", Self: node("a1", "a"), Log: s, Consumer: &consumer{next: 1}, Logger: quiet})
	at = &consumer{next: 1}
	leaf = New(Options{Stream: "s", Self: node("a2", "a"), Log: s, Consumer: at, Logger: quiet, Live: func() []wire.Node { return []wire.Node{node("a1", "a")} },
		Call: func(ctx context.Context, _, _ string, params, result any) error {
			res, err := root.Fetch(ctx, params.(wire.FetchParams))
			*result.(*wire.FetchResult) = res
			return err
		}})
	return root, leaf, at
}

func read(t *testing.T, tail *Tail, k SourceKind) error {
	t.Helper()
	_, err := tail.read(t.Context(), Source{Kind: k, Node: node("a1", "a")})
	return err
}

func TestReaderOfAnEmptyStreamLearnsThatNothingIsMissing(t *testing.T) {
	is := is.New(t)
	root, leaf, at := tails(&stream{})
	is.True(read(t, leaf, SourceRelay) != nil) // the relay knows nothing itself
	is.NoErr(read(t, root, SourceLog))
	is.NoErr(read(t, leaf, SourceRelay))
	is.Equal(at.missed, []trial.Offset{1})
}

func TestRecordsPassThroughTheRelay(t *testing.T) {
	is := is.New(t)
	s := &stream{}
	root, leaf, at := tails(s)
	is.NoErr(read(t, root, SourceLog))
	_, err := s.Append(t.Context(), "s", []trial.NewRecord{{ID: "1", Data: json.RawMessage("1")}, {ID: "2", Data: json.RawMessage("2")}})
	is.NoErr(err)
	is.NoErr(read(t, root, SourceLog))
	is.NoErr(read(t, leaf, SourceRelay))
	is.Equal(at.next, trial.Offset(3))
	age, ok := leaf.Age(time.Now())
	is.True(ok && age < MaxAge)
}

func TestRelayThatDoesNotReachBackSaysSo(t *testing.T) {
	is := is.New(t)
	s := &stream{first: 3}
	_, err := s.Append(t.Context(), "s", []trial.NewRecord{{ID: "1"}, {ID: "2"}, {ID: "3"}})
	is.NoErr(err)
	root, leaf, at := tails(s)
	is.NoErr(read(t, root, SourceLog))
	is.True(read(t, leaf, SourceRelay) != nil)
	is.NoErr(read(t, leaf, SourceLog)) // the log itself tells what is gone
	is.Equal(at.next, trial.Offset(4))
	is.Equal(at.missed, []trial.Offset{3})
}

// asking is a consumer that asks its tail for the retention, as those of the steward do under their locks.
type asking struct {
	consumer
	tail *Tail
}

func (a *asking) Next() trial.Offset {
	a.tail.Retention()
	return a.next
}

func TestConsumerMayAskTheTail(t *testing.T) {
	is := is.New(t)
	a := &asking{consumer: consumer{next: 1}}
	a.tail = New(Options{Stream: "s", Log: &stream{}, Consumer: a, Logger: slog.New(slog.DiscardHandler)})
	done := make(chan error, 1)
	go func() { done <- read(t, a.tail, SourceLog) }()
	select {
	case err := <-done:
		is.NoErr(err)
	case <-time.After(10 * time.Second):
		t.Fatal("the tail holds its lock while it asks its consumer")
	}
}
