package usage

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/duties"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
	"github.com/ibistrail/ibistrail/tenure"
)

const (
	window   = 5 * time.Second
	due      = 10 * time.Second
	handover = 3 * time.Second
	vms      = 3
)

var errLost = errors.New("no answer")

// world is a deployment on a simulated clock: a log, the platform's API and VMs.
type world struct {
	is      *is.I
	t       *testing.T
	now     time.Duration // since boot
	records map[store.Partition][][]byte
	first   map[store.Partition]int64
	// storeDown makes all store calls fail, loseAppend makes the next append of a topic take effect without an answer.
	storeDown  bool
	loseAppend map[string]bool
	// beforeReport is called once before the next append of reports takes effect.
	beforeReport func()
	// anyWave lets replaced holders send.
	anyWave    bool
	apiDown    bool
	cutOff     map[string]bool // VMs that do not reach the API while others do
	loseAnswer bool
	calls      []call
	vms        []*simVM
}

// call is a call that the API received.
type call struct {
	duties.Holder
	duties.Usage
	at time.Time
}

// simVM is a VM; its methods run in one goroutine.
type simVM struct {
	w       *world
	name    string
	clock   time.Duration // difference of its time of day
	paused  bool
	service *Service
	session *session
	tenure  *simTenure
}

// simTenure is a tenure that the test grants. As in package tenure, a wave needs a record of a VM that still holds it.
type simTenure struct {
	v         *simVM
	held      bool // as this VM believes
	token     int64
	sendUntil time.Duration
	onWave    func()
}

func (t *simTenure) Held() (int64, bool)               { return t.token, t.held }
func (t *simTenure) OrderDelay() (time.Duration, bool) { return 0, t.held }
func (t *simTenure) MaySend() bool                     { return t.held && t.v.w.now < t.sendUntil }
func (t *simTenure) Yield(context.Context) bool {
	t.held = false
	return true
}
func (t *simTenure) BeginWave(context.Context) error {
	for _, other := range t.v.w.vms {
		if other.tenure.token > t.token && !t.v.w.anyWave {
			t.held = false
			return tenure.ErrNotHeld
		}
	}
	if t.v.w.storeDown {
		return store.ErrUnavailable
	}
	t.sendUntil = t.v.w.now + 500*time.Millisecond
	if t.onWave != nil {
		t.onWave()
	}
	return nil
}

func (w *world) wall() time.Time { return time.Unix(1_767_225_600, 0).Add(w.now) }

func (w *world) Append(_ context.Context, p store.Partition, records [][]byte) (int64, error) {
	if w.storeDown {
		return 0, store.ErrUnavailable
	}
	if f := w.beforeReport; f != nil && p.Topic == TopicReports {
		w.beforeReport = nil
		f()
	}
	w.records[p] = append(w.records[p], records...)
	if w.loseAppend[p.Topic] {
		delete(w.loseAppend, p.Topic)
		return 0, errLost
	}
	return int64(len(w.records[p]) - len(records)), nil
}

func (w *world) Read(_ context.Context, p store.Partition, from int64, _ time.Duration, _ int) (store.Batch, error) {
	switch {
	case w.storeDown:
		return store.Batch{}, store.ErrUnavailable
	case from < w.first[p]:
		return store.Batch{}, &store.TruncatedError{First: w.first[p]}
	}
	end := int64(len(w.records[p]))
	return store.Batch{From: from, Records: w.records[p][min(from, end):], End: end}, nil
}

func (w *world) ReportUsage(_ context.Context, h duties.Holder, u duties.Usage) error {
	if w.apiDown || w.cutOff[h.VM] {
		return errLost
	}
	w.calls = append(w.calls, call{h, u, w.wall()})
	if w.loseAnswer {
		w.loseAnswer = false
		return errLost
	}
	return nil
}

func (w *world) OrderTargets(context.Context, duties.Holder, duties.TargetOrder) error { return nil }

type simLog struct {
	store.Log
	w *world
}

func (l simLog) Append(ctx context.Context, p store.Partition, records [][]byte) (int64, error) {
	return l.w.Append(ctx, p, records)
}

func (l simLog) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration, n int) (store.Batch, error) {
	return l.w.Read(ctx, p, from, wait, n)
}

func newWorld(t *testing.T) *world {
	w := &world{is: is.New(t), t: t, now: time.Hour, records: map[store.Partition][][]byte{}, first: map[store.Partition]int64{}, loseAppend: map[string]bool{}, cutOff: map[string]bool{}}
	for i := range vms {
		w.addVM(fmt.Sprintf("vm-%d", i))
	}
	w.grant(0)
	return w
}

func (w *world) addVM(name string) *simVM {
	v := &simVM{w: w, name: name}
	v.tenure = &simTenure{v: v}
	v.service = New(Options{
		VM: name, Process: fmt.Sprintf("%s/%d", name, w.now), Window: window, Due: due, Partitions: 4, MaxRecordBytes: 4096, Store: simLog{w: w}, API: w,
		CutOff: func(context.Context) bool { return w.cutOff[name] }, Wall: func() time.Time { return w.wall().Add(v.clock) }, BootTime: func() time.Duration { return w.now }, Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics(),
	})
	w.vms = append(w.vms, v)
	return v
}

// grant gives the duty to a VM. The others believe that they hold it until their next wave.
func (w *world) grant(i int) {
	token := int64(0)
	for _, v := range w.vms {
		token = max(token, v.tenure.token)
	}
	w.vms[i].tenure.held, w.vms[i].tenure.token = true, token+1
	w.vms[i].session = newSession(w.vms[i].service, w.vms[i].tenure)
}

// step lets one VM do what it does at this time.
func (v *simVM) step() {
	if v.paused {
		return
	}
	if v.w.now%(800*time.Millisecond) == 0 {
		_ = v.service.appendAll(v.w.t.Context()) // repeated in the next step
	}
	if v.tenure.held {
		v.session.step(v.w.t.Context())
	}
}

// run lets the time pass. Each VM gets a request each 200 ms while requests is set.
func (w *world) run(d time.Duration, requests bool) {
	for end := w.now + d; w.now < end; w.now += 200 * time.Millisecond {
		for _, v := range w.vms {
			if requests && !v.paused {
				v.service.Began("hule930", v.service.opts.Wall())
			}
			v.step()
		}
	}
}

// check checks that no window has two different counts, that tokens never fall, and that windows are reported in time. It returns the
// counts by window.
func (w *world) check() map[int64]int64 {
	w.t.Helper()
	counts := map[int64]int64{}
	token := int64(0)
	for _, c := range w.calls {
		n := c.Counts["hule930"]
		if previous, ok := counts[c.Window]; ok && previous != n {
			w.t.Errorf("window %d was reported with %d and %d requests", c.Window, previous, n)
		}
		if late := c.at.Sub(windowEnd(c.Window, window)); late > due {
			w.t.Errorf("window %d was reported %s after its end", c.Window, late)
		}
		if c.Token < token {
			w.t.Errorf("token %d after %d", c.Token, token)
		}
		counts[c.Window], token = n, c.Token
	}
	return counts
}

// checkWindows checks that the windows from the nth on after the start were reported with a count within 5 % of want, except the newest ones.
func (w *world) checkWindows(skip int, want float64) {
	w.t.Helper()
	counts := w.check()
	for k := windowAt(time.Unix(1_767_225_600, 0).Add(time.Hour), window) + int64(skip); k < windowAt(w.wall(), window)-1; k++ {
		n, ok := counts[k]
		if !ok || float64(n) < 0.95*want || float64(n) > 1.05*want {
			w.t.Errorf("window %d: reported %t, %d requests, want about %.0f", k, ok, n, want)
		}
	}
}

const perWindow = vms * 25

func TestEachWindowIsReportedOnce(t *testing.T) {
	w := newWorld(t)
	w.run(60*time.Second, true)
	w.checkWindows(0, perWindow)
	w.is.Equal(len(w.calls), len(w.check())) // none is repeated
}

// TestWindowsWithoutRequestsAreReported covers a silent system: a window without a report would count as missed.
func TestWindowsWithoutRequestsAreReported(t *testing.T) {
	w := newWorld(t)
	w.run(40*time.Second, false)
	w.checkWindows(0, 0)
	w.is.Equal(len(w.records[store.Partition{Topic: TopicCounts}])+len(w.records[store.Partition{Topic: TopicCounts, Index: 1}]), 0) // no append without requests
}

// TestLostAnswersChangeNoCounts repeats appends and reports whose answers were lost: a record that was appended twice was counted twice.
func TestLostAnswersChangeNoCounts(t *testing.T) {
	w := newWorld(t)
	for range 20 {
		w.loseAppend[TopicCounts], w.loseAppend[TopicReports], w.loseAnswer = true, true, true
		w.run(3*time.Second, true)
	}
	w.checkWindows(0, perWindow)
	w.is.True(w.vms[0].session.ledger.Copies > 10)
}

// TestTwoHoldersSendTheSameCounts lets two VMs take themselves for the holder: the second one has read one more record and fixes a window
// just before the first one does.
func TestTwoHoldersSendTheSameCounts(t *testing.T) {
	w := newWorld(t)
	w.run(12*time.Second, true)
	w.anyWave = true
	a, b := w.vms[0], w.vms[1]
	for range 5 {
		w.grant(1)
		fixedByB := 0
		w.beforeReport = func() {
			w.vms[2].service.Began("hule930", w.wall().Add(-window))
			w.is.NoErr(w.vms[2].service.appendAll(t.Context()))
			calls := len(w.calls)
			b.session.step(t.Context())
			fixedByB = len(w.calls) - calls
		}
		b.paused = true
		w.run(7*time.Second, false)
		b.paused, b.tenure.held = false, false
		w.is.True(fixedByB > 0)
		w.is.True(a.tenure.held)
	}
	counts := map[int64]int64{}
	repeats := 0
	for _, c := range w.calls { // tokens fall here, as both may send
		n, ok := counts[c.Window]
		if ok {
			w.is.Equal(n, c.Counts["hule930"])
			repeats++
		}
		counts[c.Window] = c.Counts["hule930"]
	}
	w.is.True(repeats >= 5)
}

// TestHolderPausedBetweenFixAndSend resumes a holder after its successor has reported: it must not send, neither what it has fixed nor
// counts of its own.
func TestHolderPausedBetweenFixAndSend(t *testing.T) {
	w := newWorld(t)
	a := w.vms[0]
	w.run(13200*time.Millisecond, true)
	a.tenure.onWave = func() { a.tenure.sendUntil = 0 } // paused for longer than the order window
	before := len(w.calls)
	a.step()
	a.paused = true
	k := windowAt(w.wall(), window) - 1
	w.is.True(a.session.ledger.Fixed(k))
	w.is.Equal(len(w.calls), before)
	w.run(3*time.Second, true)
	w.grant(1)
	w.run(10*time.Second, true)
	sent := len(w.calls)
	a.paused = false
	a.step()
	w.is.Equal(len(w.calls), sent)
	w.is.True(!a.tenure.held)
	w.run(20*time.Second, true)
	_, reported := w.check()[k]
	w.is.True(reported) // by the successor
}

// TestSuccessorReportsWhatIsInTime lets the duty be vacant for some seconds: windows that are in time are reported with all counts.
func TestSuccessorReportsWhatIsInTime(t *testing.T) {
	w := newWorld(t)
	w.run(23*time.Second, true)
	w.vms[0].tenure.held = false
	w.run(6*time.Second, true)
	w.grant(1)
	w.run(30*time.Second, true)
	w.checkWindows(0, perWindow)
	w.is.True(len(w.calls) <= len(w.check())+1) // at most one repeat
}

// TestStoreAwayAndBack lets the store be away for less and for more than the time of a report.
func TestStoreAwayAndBack(t *testing.T) {
	w := newWorld(t)
	w.run(21*time.Second, true)
	w.storeDown = true
	w.run(6*time.Second, true)
	w.storeDown = false
	w.run(24*time.Second, true)
	w.checkWindows(0, perWindow)
	w.storeDown = true
	w.run(40*time.Second, true)
	w.is.True(w.vms[0].service.counter.Pending() < 6*perWindow) // counts that are too late are dropped
	w.storeDown = false
	sent := len(w.calls)
	w.run(20*time.Second, true)
	w.is.True(len(w.calls)-sent >= 4)
	for _, n := range w.check() {
		w.is.True(n > perWindow*95/100 && n < perWindow*105/100) // what is reported at all is right
	}
	missed := 0
	for _, s := range w.vms[0].session.ledger.Windows() {
		if s.Status == StatusMissed {
			missed++
			w.is.Equal(s.Reason, reasonStore)
		}
	}
	w.is.True(missed >= 4)
}

// TestAPIDownIsRetriedUntilDue covers reports that the platform does not take for less than their time.
func TestAPIDownIsRetriedUntilDue(t *testing.T) {
	w := newWorld(t)
	w.run(23*time.Second, true)
	w.apiDown = true
	w.run(6*time.Second, true)
	w.apiDown = false
	w.run(20*time.Second, true)
	w.checkWindows(0, perWindow)
}

// TestHolderCutOffFromTheAPIHandsOn cuts the holder off from the API: it kept the duty, and all windows of the cut were missed.
func TestHolderCutOffFromTheAPIHandsOn(t *testing.T) {
	w := newWorld(t)
	w.run(21*time.Second, true)
	w.apiDown = true
	w.run(5*time.Second, true)
	w.is.True(w.vms[0].tenure.held) // no other VM reaches the API either
	w.apiDown = false
	w.run(8*time.Second, true)
	w.cutOff["vm-0"] = true
	w.run(7*time.Second, true)
	w.is.True(!w.vms[0].tenure.held)
	w.grant(1)
	w.run(20*time.Second, true)
	w.checkWindows(0, perWindow)
}

// TestClocksOff lets the holder's or another VM's clock be off: the counts must be right, as late records must be waited for.
func TestClocksOff(t *testing.T) {
	for _, off := range []time.Duration{-2 * time.Second, 2 * time.Second} {
		for i := range 2 {
			t.Run(fmt.Sprintf("vm %d by %s", i, off), func(t *testing.T) {
				w := newWorld(t)
				w.vms[i].clock = off
				w.run(60*time.Second, true)
				w.checkWindows(1, perWindow) // in the first window the requests do not cancel out
			})
		}
	}
}

// TestHolderWhoseClockSteps sets the holder's clock forth and back: a window must not be fixed by a reading that came before its end.
func TestHolderWhoseClockSteps(t *testing.T) {
	w := newWorld(t)
	w.vms = w.vms[:2] // fewer than three VMs count, so that the holder goes by its own clock
	begin := windowAt(w.wall(), window)
	for _, clock := range []time.Duration{2 * time.Second, 0, -2 * time.Second, 2 * time.Second, -time.Second, 0} {
		w.run(17*time.Second, true)
		w.vms[0].clock = clock
	}
	w.run(17*time.Second, true)
	counts := w.check()
	for k := begin; k < windowAt(w.wall(), window)-1; k++ {
		w.is.True(counts[k] >= 25) // all requests of the other VM
	}
	w.vms[0].clock = 12 * time.Second
	w.run(17*time.Second, true)
	w.vms[0].clock = 0
	w.run(30*time.Second, true)
	counts = w.check()
	now := windowAt(w.wall(), window)
	for k := now - 3; k < now-1; k++ { // those before may have been fixed ahead, and have requests counted ahead
		w.is.Equal(counts[k], int64(50))
	}
}

// TestHolderWithAClockFarAhead covers a clock that steps by an hour: the holder took all windows for missed, and fixed windows to come.
func TestHolderWithAClockFarAhead(t *testing.T) {
	w := newWorld(t)
	w.run(21*time.Second, true)
	w.vms[0].clock = time.Hour
	w.run(40*time.Second, true)
	w.vms[0].clock = 0
	w.run(20*time.Second, true)
	counts := w.check()
	now := windowAt(w.wall(), window)
	for k := now - 12; k < now-1; k++ {
		n := counts[k]
		w.is.True(n >= 2*perWindow/3 && n <= perWindow+vms) // without the requests of the VM whose clock is off
	}
	w.is.True(w.vms[0].session.ledger.Ignored > 0)
}

// TestExpiredRecordsAreSkipped lets the store forget records that the successor would read.
func TestExpiredRecordsAreSkipped(t *testing.T) {
	w := newWorld(t)
	w.run(31*time.Second, true)
	for p, records := range w.records {
		w.first[p] = int64(len(records))
	}
	w.vms[0].tenure.held = false
	w.grant(1)
	w.run(30*time.Second, true)
	counts := w.check()
	for k := windowAt(w.wall(), window) - 4; k < windowAt(w.wall(), window)-1; k++ {
		w.is.Equal(counts[k], int64(perWindow))
	}
}

func TestCounterSplitsRecords(t *testing.T) {
	is := is.New(t)
	c := Counter{Window: window, Due: due, VM: "v", Process: "v/1", MaxRecordBytes: 1024}
	at := time.Unix(1_767_225_600, 0)
	for i := range 200 {
		c.Add(at, fmt.Sprintf("organisation-%d", i), 1)
	}
	c.Add(at, "refused", 1)
	c.Add(at, "refused", -1)
	records, err := c.Next(at)
	is.NoErr(err)
	is.True(len(records) > 5)
	l := NewLedger(window, due, 1)
	l.Start(at, at, false)
	for i, r := range records {
		is.True(len(r) <= 1024)
		_, ok := l.ApplyCounts(0, int64(i), r, at, 0, false)
		is.True(ok)
	}
	is.Equal(len(l.counts[windowAt(at, window)]), 200)
	for i := range 100 { // a clock that runs wild
		c.Add(at.Add(time.Duration(i)*window), "o", 1)
	}
	is.Equal(len(c.pending), maxPendingWindows)
}
