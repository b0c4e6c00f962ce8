package crashes

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/quarantine"
	"github.com/ibistrail/ibistrail/store"
)

// topic is a compacted topic in memory. Of the store's methods it has only those that a register uses.
type topic struct {
	store.Log
	mu      sync.Mutex
	records []store.KeyedRecord
	down    bool
}

func (x *topic) AppendKeyed(_ context.Context, _ string, records []store.KeyedRecord) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.down {
		return store.ErrUnavailable
	}
	x.records = append(x.records, records...)
	return nil
}

func (x *topic) ReadNewest(context.Context, string) ([]store.KeyedRecord, int64, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.down {
		return nil, 0, store.ErrUnavailable
	}
	newest := map[string]store.KeyedRecord{}
	for _, r := range x.records {
		newest[r.Key] = r
	}
	var out []store.KeyedRecord
	for _, r := range newest {
		if r.Value != nil {
			out = append(out, r)
		}
	}
	return out, int64(len(x.records)), nil
}

func (x *topic) ReadKeyed(ctx context.Context, _ string, from int64, wait time.Duration) ([]store.KeyedRecord, int64, error) {
	for deadline := time.Now().Add(wait); ctx.Err() == nil && time.Now().Before(deadline); {
		x.mu.Lock()
		records, down := x.records[from:], x.down
		x.mu.Unlock()
		if down {
			return nil, from, store.ErrUnavailable
		}
		if len(records) > 0 {
			return records, from + int64(len(records)), nil
		}
		process.Sleep(ctx, 5*time.Millisecond)
	}
	return nil, from, nil
}

func (x *topic) setDown(down bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.down = down
}

func (x *topic) count() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.records)
}

// allGone is a Prober for which each target has ended.
type allGone struct{}

func (allGone) Gone(context.Context, *fleet.Instance) bool { return true }

// allAlive is a Prober for which each target still runs.
type allAlive struct{}

func (allAlive) Gone(context.Context, *fleet.Instance) bool { return false }

func instance(i int) *fleet.Instance {
	return &fleet.Instance{Target: config.Target{Name: fmt.Sprintf("t|%d", i)}, StartedMs: 1}
}

// newRegister returns a register of a VM that shares deaths until the test ends.
func newRegister(t *testing.T, x *topic) *Register {
	r := New(Options{Store: x, Topic: "crashes", Targets: allGone{}, Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics()})
	go r.Run(t.Context())
	return r
}

func breakRuns(r *Register, fingerprint string, targets ...int) {
	for _, i := range targets {
		r.RunBroken(fingerprint, instance(i))
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not within 3 s:", what)
		}
	}
}

func rejects(r *Register, fingerprint string) func() bool {
	return func() bool { return r.Admit(fingerprint).RetryAfter > quarantine.ReportWindow }
}

func TestDeathsSeenByDifferentVMsAddUp(t *testing.T) {
	t.Parallel()
	is, x := is.New(t), &topic{}
	a, b := newRegister(t, x), newRegister(t, x)
	breakRuns(a, "fp", 1, 2)
	is.True(!a.Admit("fp").Rejected)
	breakRuns(b, "fp", 3)
	eventually(t, "both reject it", func() bool { return rejects(a, "fp")() && rejects(b, "fp")() })
	is.True(!a.Admit("other").Rejected)
	replaced := newRegister(t, x)
	eventually(t, "a VM that starts later rejects it", rejects(replaced, "fp"))
}

func TestRunOnLiveTargetIsNoDeath(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := New(Options{Store: &topic{}, Targets: allAlive{}, Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics()})
	breakRuns(r, "fp", 1, 2, 3)
	is.Equal(r.Admit("fp"), Admission{})
}

func TestSuspectThatCompletesIsClearedAtEachVM(t *testing.T) {
	t.Parallel()
	is, x := is.New(t), &topic{}
	a, b := newRegister(t, x), newRegister(t, x)
	breakRuns(a, "fp", 1, 2)
	eventually(t, "the other VM suspects it", func() bool { return b.Admit("fp").Suspect })
	b.Answered("fp")
	eventually(t, "the first VM has cleared it", func() bool { return !a.Admit("fp").Suspect })
	breakRuns(a, "fp", 3)
	time.Sleep(quarantine.ReportWindow)
	is.True(!a.Admit("fp").Rejected) // the deaths before do not count
}

func TestSuspectThatCompletesAtOnceIsNotShared(t *testing.T) {
	t.Parallel()
	is, x := is.New(t), &topic{}
	a := newRegister(t, x)
	breakRuns(a, "fp", 1)
	a.Answered("fp")
	time.Sleep(2 * saveDelay)
	is.Equal(x.count(), 0)
	is.Equal(a.Admit("fp"), Admission{})
}

func TestDeathsDuringStoreOutageCountLocallyAndAreSharedAfterIt(t *testing.T) {
	t.Parallel()
	x := &topic{down: true}
	a, b := newRegister(t, x), newRegister(t, x)
	breakRuns(a, "fp", 1, 2, 3)
	eventually(t, "the VM that saw them rejects it", rejects(a, "fp"))
	x.setDown(false)
	eventually(t, "the other VM rejects it", rejects(b, "fp"))
}

func TestExpiredDeathsAreRemoved(t *testing.T) {
	t.Parallel()
	is, x := is.New(t), &topic{}
	a := newRegister(t, x)
	breakRuns(a, "fp", 1, 2)
	eventually(t, "the deaths are shared", func() bool { return x.count() == 2 })
	other := New(Options{Store: x, Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics()})
	records, _, err := x.ReadNewest(t.Context(), "")
	is.NoErr(err)
	other.applyListing(time.Now(), records)
	is.True(other.Admit("fp").Suspect)
	expired := time.Now().Add(quarantine.SuspectTTL + time.Second)
	other.sweep(expired)
	is.Equal(len(other.unsaved), 0) // the VM that recorded them removes them, if it still runs
	other.sweep(expired.Add(orphanGrace))
	is.Equal(len(other.unsaved), 2)
	is.Equal(other.Admit("fp"), Admission{})
	a.sweep(expired)
	eventually(t, "the deaths are removed", func() bool { records, _, _ := x.ReadNewest(t.Context(), ""); return len(records) == 0 })
}

func TestListingReplacesDeathsOfOtherVMs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := New(Options{Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics()})
	value := []byte(fmt.Sprintf(`{"expires_ms":%d}`, time.Now().Add(time.Minute).UnixMilli()))
	r.applyListing(time.Now(), []store.KeyedRecord{{Key: "fp|t|1", Value: value}, {Key: "gp|t|1", Value: value}, {Key: "malformed", Value: value}, {Key: "hp|t|1", Value: []byte("{")}})
	is.True(r.Admit("fp").Suspect)
	is.True(r.Admit("gp").Suspect)
	is.True(!r.Admit("hp").Suspect)
	r.applyListing(time.Now(), []store.KeyedRecord{{Key: "gp|t|1", Value: value}})
	is.True(!r.Admit("fp").Suspect)
	is.True(r.Admit("gp").Suspect)
}

// A VM that was out of touch may take a request for a crashing one that others serve.
func TestAnswerAtOneVMEndsQuarantineAtAnother(t *testing.T) {
	t.Parallel()
	x := &topic{}
	a, b := newRegister(t, x), newRegister(t, x)
	breakRuns(a, "fp", 1, 2, 3)
	eventually(t, "the first VM rejects it", rejects(a, "fp"))
	eventually(t, "the other VM knows of it", func() bool { return b.Admit("fp").Rejected })
	b.Answered("fp") // a run that had begun before
	eventually(t, "both admit it", func() bool { return !a.Admit("fp").Rejected && !b.Admit("fp").Rejected })
}

func TestDeathBeforeAnAnswerDoesNotCountWhenItBecomesKnown(t *testing.T) {
	t.Parallel()
	is, x := is.New(t), &topic{}
	a := newRegister(t, x)
	before := time.Now()
	a.Answered("fp") // it was never suspected here
	value := []byte(fmt.Sprintf(`{"at_ms":%d,"expires_ms":%d}`, before.UnixMilli(), before.Add(time.Minute).UnixMilli()))
	is.NoErr(x.AppendKeyed(t.Context(), "", []store.KeyedRecord{{Key: "fp|t|1", Value: value}}))
	eventually(t, "it is taken back", func() bool { return x.count() == 2 })
	is.Equal(a.Admit("fp"), Admission{})
}

func TestRecentAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	var a recentAnswers
	at := time.Now()
	for i := range 3 * answersPerGeneration {
		a.record(fmt.Sprint(i), at)
		is.Equal(a.last(fmt.Sprint(i)), at)
	}
	is.True(len(a.current)+len(a.previous) <= 2*answersPerGeneration)
	is.True(a.last("0").IsZero())
}

func TestDeathWithTooLongKeyIsKeptButNotShared(t *testing.T) {
	t.Parallel()
	is, x := is.New(t), &topic{}
	a := newRegister(t, x)
	a.RunBroken("fp", &fleet.Instance{Target: config.Target{Name: strings.Repeat("t", maxKeyBytes)}})
	breakRuns(a, "fp", 1)
	eventually(t, "the other death is shared", func() bool { return x.count() == 1 })
	breakRuns(a, "fp", 2)
	eventually(t, "all three count here", rejects(a, "fp"))
	is.Equal(x.count(), 2)
}
