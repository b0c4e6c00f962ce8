// Package tenure elects the VM that runs the work of a partition and sends orders to its engines. The holder renews its tenure by
// appending records to the platform's log. Each append is conditional on no other VM having appended a record, so a
// holder that was replaced detects this before it acts. All candidate VMs read the log, and one of them takes over when
// the holder's records stop.
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

// Topic is the log topic of the records of the tenures of batch partitions.
const Topic = "tenures"

// Timing and limits of a tenure.
const (
	// renewInterval is the time between two records of a holder.
	renewInterval = 150 * time.Millisecond
	// takeoverTimeout is the time without a record after which a candidate takes over. It must exceed the gap that a lost
	// response leaves: renewInterval, callTimeout and lostCallDelay.
	takeoverTimeout = 700 * time.Millisecond
	// rankDelay staggers the candidates: each rank waits that much longer than the previous one.
	rankDelay = 100 * time.Millisecond
	rankCount = 5
	// standbyTimeout is the time without a record after which a standby VM takes over, standbyReleaseTimeout that after a release.
	standbyTimeout        = 3 * time.Second
	standbyReleaseTimeout = time.Second
	// unableTimeout is the time without a record after which a VM that can't do the work takes over: no other VM can either.
	unableTimeout = 4500 * time.Millisecond
	// standbyPollInterval is the time between two reads of a standby VM.
	standbyPollInterval = 1200 * time.Millisecond
	// orderWindow is the time after a wave's start during which its orders may be sent. It bounds how late a replaced
	// holder can act. It must cover one response of a slow store.
	orderWindow = 500 * time.Millisecond
	// retryDelay is the pause after a call that the store refused, lostCallDelay that after one without a response.
	retryDelay    = 200 * time.Millisecond
	lostCallDelay = 50 * time.Millisecond
	// callTimeout bounds a store call, so that a call whose response was lost is retried before other VMs take over. It must
	// cover one response of a slow store.
	callTimeout = 400 * time.Millisecond
	// maxReadBytes is the approximate maximum size of a read.
	maxReadBytes = 256 << 10
)

// Timing holds the intervals of a tenure, for duties that need no takeover within a second. A zero field means the default.
type Timing struct {
	// Renew is the time between two records of a holder.
	Renew time.Duration
	// Takeover is the time without a record after which a candidate takes over. It must exceed Renew and the time of two store calls.
	Takeover time.Duration
	// Watch is how long one read of a candidate waits for a record. A wait ends when a takeover would be due.
	Watch time.Duration
	// Standby is the time without a record after which a standby VM takes over; it must exceed Takeover and the delay of the last rank.
	Standby time.Duration
}

func (t Timing) withDefaults() Timing {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&t.Renew, renewInterval)
	set(&t.Takeover, takeoverTimeout)
	set(&t.Watch, renewInterval)
	set(&t.Standby, standbyTimeout)
	return t
}

// ErrNotHeld is returned if this VM doesn't hold the tenure, or must not send orders yet.
var ErrNotHeld = errors.New("orders not allowed: another VM holds the tenure, or its last orders are too recent; retried automatically")

// record is an entry of the log, written by the holder.
type record struct {
	// Machine is the holder's address. Process identifies the process, so it changes with each restart.
	Machine string `json:"machine"`
	Process string `json:"process"`
	// SinceOrdersMs is a lower bound of the time since any holder sent its last order, in milliseconds.
	SinceOrdersMs int64 `json:"since_orders_ms"`
	// HandoverDone is set if the handover delay since the last order of any other machine has passed.
	HandoverDone bool `json:"handover_done,omitempty"`
	Release      bool `json:"release,omitempty"`
}

// Options configure a Tenure.
type Options struct {
	Store store.Log
	// Topic is the log topic of the records; empty means Topic.
	Topic     string
	Partition int
	Machine   string
	Process   string
	Timing    Timing
	// HandoverDelay is the minimum time between the orders of two holders.
	HandoverDelay time.Duration
	// Standby makes this VM take over only if no other candidate does.
	Standby bool
	// Able reports whether this VM can do the work now: it reaches the targets. It may block for some time. Nil means that it can.
	Able func() bool
	// Clock is a monotonic clock that continues while the VM is suspended.
	Clock func() time.Duration
	Log   *slog.Logger
	// OnChange is called when the tenure was acquired, lost or released. It is called with a lock held and must not call
	// the Tenure's methods.
	OnChange func()
}

// Tenure is a VM's view of a partition's tenure. It is safe for concurrent use.
type Tenure struct {
	opts      Options
	partition store.Partition
	// takeoverDelay is this VM's additional wait before a takeover, from its rank among the candidates.
	takeoverDelay time.Duration

	mu           sync.Mutex // guards the state and serializes the appends
	released     bool
	held         bool
	token        int64
	nextOffset   int64
	lastRecord   *record
	lastRecordAt time.Duration // when the newest record was read, or this VM first reached the end of the log
	caughtUp     bool
	lastReadAt   time.Duration // when the log was last read
	readFailed   bool          // a read has failed since
	lastOrderAt  time.Duration // upper bound of the time of the last order by any holder
	sendUntil    time.Duration // end of the newest wave's order window
	handoverDone bool          // HandoverDelay has passed since the orders of the previous holders
}

// New returns a tenure that is not held.
func New(opts Options) *Tenure {
	if opts.Topic == "" {
		opts.Topic = Topic
	}
	opts.Timing = opts.Timing.withDefaults()
	return &Tenure{
		opts: opts, partition: store.Partition{Topic: opts.Topic, Index: opts.Partition},
		takeoverDelay: time.Duration(xxhash.Sum64String(opts.Process)%rankCount) * rankDelay,
	}
}

// Held returns the fencing token, and whether this VM holds the tenure.
func (t *Tenure) Held() (token int64, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.token, t.held
}

// FirstInLine reports whether this VM is among the first to take over when the holder is lost.
func (t *Tenure) FirstInLine() bool { return !t.opts.Standby && t.takeoverDelay == 0 }

// Run renews the tenure, or watches the log to take it over, until ctx is done or Release is called.
func (t *Tenure) Run(ctx context.Context) {
	var outage process.Outage
	for ctx.Err() == nil && !t.isReleased() {
		pause, err := t.step(ctx)
		switch {
		case errors.Is(err, ErrNotHeld) || ctx.Err() != nil:
			pause = retryDelay
		case err != nil:
			outage.Failed(t.opts.Log, "tenure_store", err, "partition", t.partition.Index)
			pause = lostCallDelay
			if errors.Is(err, store.ErrUnavailable) {
				pause = retryDelay
			}
		default:
			outage.Recovered(t.opts.Log, "tenure_store", "partition", t.partition.Index)
		}
		process.Sleep(ctx, pause)
	}
}

func (t *Tenure) isReleased() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.released
}

// step renews the tenure, or reads the log and takes over if the tenure is vacant. It returns the time until the next step.
func (t *Tenure) step(ctx context.Context) (time.Duration, error) {
	if _, held := t.Held(); held {
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.opts.Timing.Renew, t.append(ctx, record{})
	}
	if err := t.watch(ctx); err != nil {
		return 0, err
	}
	t.mu.Lock()
	vacant := t.vacant()
	t.mu.Unlock()
	able := !vacant || t.opts.Able == nil || t.opts.Able()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.released {
		return 0, nil
	}
	if vacant && !able && t.opts.Clock()-t.lastRecordAt < unableTimeout {
		return retryDelay, nil
	}
	if !vacant {
		if t.opts.Standby {
			return standbyPollInterval, nil
		}
		if t.nextOffset == 0 && t.opts.Timing.Watch > renewInterval {
			return rankDelay, nil // the store does not wait in a topic that has no record yet
		}
		return 0, nil
	}
	return 0, t.acquire(ctx)
}

// vacant reports whether this VM may take over the tenure. The caller holds mu.
func (t *Tenure) vacant() bool {
	elapsed := t.opts.Clock() - t.lastRecordAt
	if r := t.lastRecord; r != nil && r.Machine == t.opts.Machine && !(r.Release && r.Process == t.opts.Process) {
		return true // a record of this process, or of one that ended on this VM
	}
	if t.opts.Standby && t.lastRecord != nil && t.lastRecord.Release {
		return elapsed >= standbyReleaseTimeout
	}
	if t.opts.Standby {
		return elapsed >= t.opts.Timing.Standby
	}
	if t.lastRecord == nil || t.lastRecord.Release {
		return elapsed >= t.takeoverDelay
	}
	return elapsed >= t.opts.Timing.Takeover+t.takeoverDelay
}

// watch reads new records and applies them.
func (t *Tenure) watch(ctx context.Context) error {
	t.mu.Lock()
	from, wait := t.nextOffset, t.watchTime()
	if !t.caughtUp || t.opts.Standby {
		wait = 0
	}
	t.mu.Unlock()
	b, err := t.read(ctx, from, wait)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.readFailed = true
		return err
	}
	now := t.opts.Clock()
	// A holder can't renew its tenure in an outage of the store, so its silence counts from the end of the outage.
	if t.readFailed && t.caughtUp && now-t.lastReadAt >= t.opts.Timing.Takeover {
		t.lastRecordAt = now
	}
	t.lastReadAt, t.readFailed = now, false
	t.applyRecords(b)
	if !t.caughtUp && t.nextOffset >= b.End {
		t.caughtUp, t.lastRecordAt = true, now
	}
	return nil
}

// watchTime returns how long a read waits for the next record: no longer than until a takeover is due. The caller holds mu.
func (t *Tenure) watchTime() time.Duration {
	due := t.lastRecordAt + t.opts.Timing.Takeover + t.takeoverDelay - t.opts.Clock()
	return min(t.opts.Timing.Watch, max(renewInterval, due))
}

// applyRecords updates the state with the records of a read. The caller holds mu.
func (t *Tenure) applyRecords(b store.Batch) {
	for i, data := range b.Records {
		if b.From+int64(i) < t.nextOffset {
			continue
		}
		r := &record{}
		if err := json.Unmarshal(data, r); err != nil {
			t.opts.Log.Error("record_ignored", "topic", t.opts.Topic, "partition", t.partition.Index, "err", err)
			r = &record{} // treated as a record of another holder
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
		// The expired records may be of any holder.
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
	t.lastOrderAt, t.sendUntil, t.handoverDone = t.opts.Clock()-t.opts.HandoverDelay-orderWindow, 0, false
	if t.lastRecord != nil {
		t.lastOrderAt = t.lastRecordAt - time.Duration(t.lastRecord.SinceOrdersMs)*time.Millisecond
		// A holder is a VM: after a restart it continues with its own orders.
		t.handoverDone = t.lastRecord.Machine == t.opts.Machine && t.lastRecord.HandoverDone
	}
	offset := t.nextOffset
	if err := t.append(ctx, record{}); err != nil {
		return err
	}
	// Offsets start at 0; tokens start at 1, because 0 means no token.
	t.held, t.token = true, offset+1
	t.opts.Log.Info("tenure_taken", "partition", t.partition.Index, "token", t.token, "orders_in_ms", t.orderDelayLocked().Milliseconds())
	t.opts.OnChange()
	return nil
}

// append appends a record if no other VM did so first, otherwise it returns ErrNotHeld. The caller holds mu.
func (t *Tenure) append(ctx context.Context, r record) error {
	for {
		r.Machine, r.Process = t.opts.Machine, t.opts.Process
		r.SinceOrdersMs, r.HandoverDone = max(0, t.opts.Clock()-t.lastOrderAt).Milliseconds(), t.orderDelayLocked() == 0
		data, err := json.Marshal(r)
		if err != nil {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err = t.opts.Store.AppendAt(callCtx, t.partition, t.nextOffset, [][]byte{data})
		cancel()
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

// resolveConflict reads the records that made an append fail. It returns nil if this VM still holds the tenure, since the
// newest one is its own from an append whose response was lost, otherwise ErrNotHeld. The caller holds mu.
func (t *Tenure) resolveConflict(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := t.opts.Store.Read(ctx, t.partition, t.nextOffset, 0, maxReadBytes)
	if err != nil {
		return fmt.Errorf("reading the tenure of partition %d: %w", t.partition.Index, err)
	}
	t.applyRecords(b)
	if t.lastRecord != nil && t.lastRecord.Process == t.opts.Process && t.held {
		return nil // an earlier append without a response took effect
	}
	if t.held {
		t.held = false
		t.opts.Log.Info("tenure_lost", "partition", t.partition.Index, "token", t.token, "to", t.lastRecord.Process)
		t.opts.OnChange()
	}
	return ErrNotHeld
}

// orderDelayLocked returns the time until this holder may send orders after those of its predecessors. The caller holds mu.
func (t *Tenure) orderDelayLocked() time.Duration {
	if t.handoverDone {
		return 0
	}
	return max(0, t.lastOrderAt+t.opts.HandoverDelay+orderWindow-t.opts.Clock())
}

// OrderDelay returns the time until orders may be sent; ok is false if the tenure is not held.
func (t *Tenure) OrderDelay() (wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.orderDelayLocked(), t.held
}

// BeginWave appends a record that announces a wave of orders, which may be sent while MaySend returns true. It returns
// ErrNotHeld if the tenure is not held or orders may not be sent yet.
func (t *Tenure) BeginWave(ctx context.Context) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.held || t.orderDelayLocked() > 0 {
		return ErrNotHeld
	}
	t.handoverDone = true
	now := t.opts.Clock()
	t.lastOrderAt = now + orderWindow // later records allow for orders until the end of the window
	if err := t.append(ctx, record{}); err != nil {
		return err
	}
	t.sendUntil = now + orderWindow
	return nil
}

// MaySend reports whether orders of the newest wave may still be sent.
func (t *Tenure) MaySend() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held && t.opts.Clock() < t.sendUntil
}

// Release ends the tenure, if it is held, so that the next candidate takes over immediately, and ends Run.
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
	t.opts.OnChange()
}

// Yield ends the tenure, if it is held, so that a VM that can do the work takes over. This VM remains a candidate. If the store does not take
// the record, the tenure stays held and Yield returns false.
func (t *Tenure) Yield(ctx context.Context) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.held || t.released {
		return true
	}
	if err := t.append(ctx, record{Release: true}); err != nil {
		t.opts.Log.Warn("tenure_kept", "partition", t.partition.Index, "err", err)
		return false
	}
	t.held, t.lastRecordAt = false, t.opts.Clock()
	t.opts.Log.Info("tenure_yielded", "partition", t.partition.Index, "token", t.token)
	t.opts.OnChange()
	return true
}

// State is a tenure's entry in the state dump.
type State struct {
	Held   bool   `json:"held"`
	Token  int64  `json:"token,omitempty"`
	Holder string `json:"holder,omitempty"`
	Offset int64  `json:"offset"`
}

// State returns the tenure's entry in the state dump.
func (t *Tenure) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := State{Held: t.held, Token: t.token, Offset: t.nextOffset}
	if t.lastRecord != nil {
		s.Holder = t.lastRecord.Process
	}
	return s
}
