// Package tenure decides which VM runs the work of a partition and orders its engines. The right is
// held by records of the platform's log: each record is appended on the condition that nobody else
// appended one, so a holder that was succeeded finds out before it acts. All VMs that could carry
// the work read along, and one of them takes over when the holder's records stop.
package tenure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
)

// Topic holds the records.
const Topic = "tenures"

// Times of a tenure.
const (
	// renewInterval is how often a holder writes a record.
	renewInterval = 300 * time.Millisecond
	// takeoverTimeout is how long a candidate hears nothing before it takes over: two records that did not come,
	// and the answers of a slow store.
	takeoverTimeout = 800 * time.Millisecond
	// rankDelay keeps candidates apart: each of the ranks waits that much longer than the one before.
	rankDelay = 100 * time.Millisecond
	rankCount = 5
	// standbyTimeout is how long a VM waits that is better not the holder.
	standbyTimeout = 3 * time.Second
	// standbyPollInterval is how often such a VM looks.
	standbyPollInterval = 1200 * time.Millisecond
	// orderWindow is how long after its record an order may still be sent, which bounds how late a
	// holder that was succeeded can act. One answer of a slow store must fit into it.
	orderWindow = 500 * time.Millisecond
	// retryDelay is the pause after a call that failed.
	retryDelay = 200 * time.Millisecond
	// callTimeout bounds a call: one whose answer was lost is repeated before others take over.
	callTimeout = 500 * time.Millisecond
	// maxReadBytes is about the most that one read returns.
	maxReadBytes = 256 << 10
)

// ErrNotHeld tells that this VM may not act now.
var ErrNotHeld = errors.New("another VM holds the tenure, or its last orders are too recent; wait for the next try")

// record is what holders write.
type record struct {
	// Machine is the holder's address, Process tells its restarts apart.
	Machine string `json:"machine"`
	Process string `json:"process"`
	// SinceOrdersMs is how long ago the last order by any holder was sent, or less.
	SinceOrdersMs int64 `json:"since_orders_ms"`
	Release       bool  `json:"release,omitempty"`
}

// Options configure a Tenure.
type Options struct {
	Store     store.Log
	Partition int
	Machine   string
	Process   string
	// Handover is how far apart the orders of two holders must be.
	Handover time.Duration
	// Standby VMs take over only where no other candidate does.
	Standby bool
	// Clock goes on while the VM is suspended.
	Clock func() time.Duration
	Log   *slog.Logger
	// Changed is told when the tenure was won or lost.
	Changed func()
}

// Tenure is one VM's view of a partition's tenure.
type Tenure struct {
	opts      Options
	partition store.Partition
	// takeoverDelay is this VM's rank among the candidates, as a time.
	takeoverDelay time.Duration

	mu           sync.Mutex // guards the state and orders the appends
	released     bool
	held         bool
	token        int64
	nextOffset   int64
	lastRecord   *record
	lastRecordAt time.Duration // when the newest record of another holder was read, or watching began
	caughtUp     bool
	lastOrderAt  time.Duration // when the last order by any holder was sent, or later
	sendUntil    time.Duration // orders of this tenure's newest wave may be sent until then
	handoverDone bool          // the predecessors' orders are far enough in the past
}

// New returns a tenure that is not held.
func New(opts Options) *Tenure {
	return &Tenure{
		opts: opts, partition: store.Partition{Topic: Topic, Index: opts.Partition},
		takeoverDelay: time.Duration(xxhash.Sum64String(opts.Process)%rankCount) * rankDelay,
	}
}

// Held tells whether this VM holds the tenure, and its fencing token.
func (t *Tenure) Held() (token int64, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.token, t.held
}

// Run keeps the tenure, or reads along to take it over, until ctx ends or it is released.
func (t *Tenure) Run(ctx context.Context) {
	var outage process.Outage
	for ctx.Err() == nil && !t.isReleased() {
		pause, err := t.step(ctx)
		switch {
		case errors.Is(err, ErrNotHeld) || ctx.Err() != nil:
			pause = retryDelay
		case err != nil:
			outage.Failed(t.opts.Log, "tenure_store", err, "partition", t.partition.Index)
			pause = retryDelay
		default:
			outage.Over(t.opts.Log, "tenure_store", "partition", t.partition.Index)
		}
		process.Sleep(ctx, pause)
	}
}

func (t *Tenure) isReleased() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.released
}

// step renews the tenure, or watches its holder, and returns when to go on.
func (t *Tenure) step(ctx context.Context) (time.Duration, error) {
	if _, held := t.Held(); held {
		t.mu.Lock()
		defer t.mu.Unlock()
		return renewInterval, t.append(ctx, record{})
	}
	if err := t.watch(ctx); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.released {
		return 0, nil
	}
	if !t.vacant() {
		if t.opts.Standby {
			return standbyPollInterval, nil
		}
		return 0, nil
	}
	return 0, t.acquire(ctx)
}

// vacant tells whether a candidate may take the tenure. The caller holds mu.
func (t *Tenure) vacant() bool {
	elapsed := t.opts.Clock() - t.lastRecordAt
	if t.opts.Standby {
		return elapsed >= standbyTimeout
	}
	if t.lastRecord != nil && t.lastRecord.Process == t.opts.Process {
		return true
	}
	if t.lastRecord == nil || t.lastRecord.Release {
		return elapsed >= t.takeoverDelay
	}
	return elapsed >= takeoverTimeout+t.takeoverDelay
}

// watch reads what holders wrote.
func (t *Tenure) watch(ctx context.Context) error {
	t.mu.Lock()
	from, wait := t.nextOffset, renewInterval
	if !t.caughtUp || t.opts.Standby {
		wait = 0
	}
	t.mu.Unlock()
	b, err := t.read(ctx, from, wait)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyRecords(b)
	if !t.caughtUp && t.nextOffset >= b.End {
		t.caughtUp, t.lastRecordAt = true, t.opts.Clock()
	}
	return nil
}

// applyRecords takes the records of a read into the state. The caller holds mu.
func (t *Tenure) applyRecords(b store.Batch) {
	for i, data := range b.Records {
		if b.From+int64(i) < t.nextOffset {
			continue
		}
		r := &record{}
		if err := json.Unmarshal(data, r); err != nil {
			t.opts.Log.Error("record_ignored", "topic", Topic, "partition", t.partition.Index, "err", err)
			r = &record{} // it counts as another holder's
		}
		t.lastRecord, t.lastRecordAt = r, t.opts.Clock()
		t.nextOffset = b.From + int64(i) + 1
	}
}

func (t *Tenure) read(ctx context.Context, from int64, wait time.Duration) (store.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	b, err := t.opts.Store.Read(ctx, t.partition, from, wait, maxReadBytes)
	var truncated *store.TruncatedError
	if errors.As(err, &truncated) {
		// Whose records have expired is not known.
		t.mu.Lock()
		t.nextOffset, t.lastRecord = truncated.First, &record{}
		t.mu.Unlock()
		return store.Batch{From: truncated.First, End: truncated.First + 1}, nil
	}
	if err != nil {
		return store.Batch{}, fmt.Errorf("reading the tenure of partition %d: %w", t.partition.Index, err)
	}
	return b, nil
}

// acquire appends the record that makes this VM the holder. The caller holds mu.
func (t *Tenure) acquire(ctx context.Context) error {
	t.lastOrderAt, t.sendUntil, t.handoverDone = t.opts.Clock()-t.opts.Handover-orderWindow, 0, false
	if t.lastRecord != nil {
		t.lastOrderAt = t.lastRecordAt - time.Duration(t.lastRecord.SinceOrdersMs)*time.Millisecond
	}
	offset := t.nextOffset
	if err := t.append(ctx, record{}); err != nil {
		return err
	}
	// Offsets start at 0 and tokens at 1, so that a token is never mistaken for none.
	t.held, t.token = true, offset+1
	t.opts.Log.Info("tenure_taken", "partition", t.partition.Index, "token", t.token, "orders_in_ms", t.orderDelayLocked().Milliseconds())
	t.opts.Changed()
	return nil
}

// append writes a record if nobody else did. The caller holds mu.
func (t *Tenure) append(ctx context.Context, r record) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		r.Machine, r.Process = t.opts.Machine, t.opts.Process
		r.SinceOrdersMs = max(0, t.opts.Clock()-t.lastOrderAt).Milliseconds()
		data, err := json.Marshal(r)
		if err != nil {
			return err
		}
		_, err = t.opts.Store.AppendAt(ctx, t.partition, t.nextOffset, [][]byte{data})
		var conflict *store.ConflictError
		switch {
		case err == nil:
			t.nextOffset++
			t.lastRecord = &r
			return nil
		case !errors.As(err, &conflict):
			return err
		}
		if err := t.resolveConflict(ctx); err != nil {
			return err
		}
	}
}

// resolveConflict finds out whose records stand in the way: an append whose answer was lost is this VM's own.
// The caller holds mu.
func (t *Tenure) resolveConflict(ctx context.Context) error {
	b, err := t.opts.Store.Read(ctx, t.partition, t.nextOffset, 0, maxReadBytes)
	if err != nil {
		return fmt.Errorf("reading the tenure of partition %d: %w", t.partition.Index, err)
	}
	t.applyRecords(b)
	if t.lastRecord != nil && t.lastRecord.Process == t.opts.Process && t.held {
		return nil // an earlier record that was not answered has held
	}
	if t.held {
		t.held = false
		t.opts.Log.Info("tenure_lost", "partition", t.partition.Index, "token", t.token, "to", t.lastRecord.Process)
		t.opts.Changed()
	}
	return ErrNotHeld
}

// orderDelayLocked returns how long the predecessors' orders keep this holder from giving its own. The caller
// holds mu.
func (t *Tenure) orderDelayLocked() time.Duration {
	if t.handoverDone {
		return 0
	}
	return max(0, t.lastOrderAt+t.opts.Handover+orderWindow-t.opts.Clock())
}

// OrderDelay returns how long it takes until orders may be given; ok is false if the tenure is not held.
func (t *Tenure) OrderDelay() (wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.orderDelayLocked(), t.held
}

// BeginWave records a wave of orders, which may be sent while MaySend holds.
func (t *Tenure) BeginWave(ctx context.Context) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.held || t.orderDelayLocked() > 0 {
		return ErrNotHeld
	}
	t.handoverDone = true
	now := t.opts.Clock()
	t.lastOrderAt = now + orderWindow // the record and those after it say that orders follow
	if err := t.append(ctx, record{}); err != nil {
		return err
	}
	t.sendUntil = now + orderWindow
	return nil
}

// MaySend tells whether an order of the newest wave may still be sent.
func (t *Tenure) MaySend() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held && t.opts.Clock() < t.sendUntil
}

// Release gives the tenure up for the next candidate, and ends this VM's part.
func (t *Tenure) Release(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.released = true
	if !t.held {
		return
	}
	if err := t.append(ctx, record{Release: true}); err != nil {
		t.opts.Log.Warn("tenure_kept", "partition", t.partition.Index, "err", err)
	}
	t.held = false
	t.opts.Changed()
}

// State is what the state dump shows of a tenure.
type State struct {
	Held   bool   `json:"held"`
	Token  int64  `json:"token,omitempty"`
	Holder string `json:"holder,omitempty"`
	Offset int64  `json:"offset"`
}

// State returns what the state dump shows.
func (t *Tenure) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := State{Held: t.held, Token: t.token, Offset: t.nextOffset}
	if t.lastRecord != nil {
		s.Holder = t.lastRecord.Process
	}
	return s
}
