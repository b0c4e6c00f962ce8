package usage

import (
	"context"
	"errors"
	"time"

	"github.com/ibistrail/ibistrail/duties"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
)

// Reasons why a window was missed.
const (
	reasonNoHolder = "no VM had the duty, or was allowed to report yet"
	reasonStore    = "the store did not answer"
	reasonAPI      = "the platform's API did not take it"
	reasonUnknown  = "an earlier holder fixed it, and may have sent it"
)

// session is the work of the holder during one tenure.
type session struct {
	s      *Service
	tenure Tenure
	ledger *Ledger
	// loaded is set once the log of reports was read.
	loaded     bool
	reportsPos int64
	// readAt is when the reading of the counts began that was completed last, by the ledger's time.
	readAt, nextRead time.Time
	// readBoot is the time since boot of the last complete reading.
	readBoot time.Duration
	// storeLost is set while the store does not answer; storeBackAt is the end of its last outage, by the ledger's time.
	storeLost   bool
	storeBackAt time.Time
	// pauseUntil ends the pause after a report that was not taken, by the time since boot.
	pauseUntil time.Duration
	// failingSince is when the first report since the last success failed, by the time since boot; 0 if none did. cutOffCheckedAt is when it
	// was last checked whether this VM is cut off from the API.
	failingSince, cutOffCheckedAt time.Duration
	lastReason                    string
	storeOutage, apiOutage        process.Outage
	late, copies, ignored         int64 // as last added to the metrics
}

func newSession(s *Service, t Tenure) *session {
	return &session{s: s, tenure: t, ledger: NewLedger(s.opts.Window, s.opts.Due, s.partitions()), lastReason: reasonNoHolder}
}

func (x *session) now() time.Time { return x.ledger.Now(x.s.opts.Wall(), x.s.opts.BootTime()) }

// step reads, fixes and sends what is due, and returns the time until the next step.
func (x *session) step(ctx context.Context) time.Duration {
	if x.loaded && x.ledger.Ahead(x.now()) {
		x.s.opts.Log.Warn("usage_clock_set_back", "now", x.now())
		*x = *newSession(x.s, x.tenure)
	}
	if err := x.readAndFix(ctx); err != nil {
		if ctx.Err() == nil {
			x.storeLost, x.lastReason = true, reasonStore
			x.storeOutage.Failed(x.s.opts.Log, "usage_store", err)
		}
	} else {
		x.storeOutage.Recovered(x.s.opts.Log, "usage_store")
	}
	if x.loaded {
		x.send(ctx)
		x.handOn(ctx)
		x.logMissed()
	}
	x.updateMetrics()
	return stepInterval
}

// readAndFix reads the counts, and fixes those of the windows that are due.
func (x *session) readAndFix(ctx context.Context) error {
	if !x.loaded {
		if err := x.load(ctx); err != nil {
			return err
		}
	}
	if now := x.now(); !now.Before(x.nextRead) || x.nextRead.Sub(now) > readInterval || x.ledger.ReadDue(now, x.readAt) {
		if err := x.readCounts(ctx, now); err != nil {
			return err
		}
		x.readAt, x.nextRead = now, now.Add(readInterval)
	}
	windows := x.ledger.ToFix(x.now(), x.readAt, x.storeBackAt)
	if len(windows) == 0 {
		return nil
	}
	return x.fix(ctx, windows)
}

// load reads the end of the log of reports.
func (x *session) load(ctx context.Context) error {
	b, err := x.read(ctx, store.Partition{Topic: TopicReports}, 0, 1)
	if err != nil {
		return err
	}
	x.reportsPos = max(b.From, b.End-tailRecords)
	if err := x.readReports(ctx); err != nil {
		return err
	}
	x.ledger.Start(x.s.startedAt, x.now(), b.End > 0)
	for i, offset := range x.ledger.From(x.now()) {
		if i < x.s.partitions() {
			x.ledger.Seek(i, offset)
		}
	}
	x.loaded = true
	return nil
}

// read reads from an offset on. If the records have expired, it reads from the oldest one on.
func (x *session) read(ctx context.Context, p store.Partition, from int64, maxBytes int) (store.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	b, err := x.s.opts.Store.Read(ctx, p, from, 0, maxBytes)
	var truncated *store.TruncatedError
	if errors.As(err, &truncated) {
		if from > 0 { // 0 only looks for the end of the log
			x.s.opts.Log.Warn("usage_records_expired", "topic", p.Topic, "partition", p.Index, "from", from, "first", truncated.First)
		}
		b, err = x.s.opts.Store.Read(ctx, p, truncated.First, 0, maxBytes)
	}
	if err == nil && x.storeLost {
		x.storeLost, x.storeBackAt = false, x.now()
	}
	return b, err
}

// readReports reads the log of reports to its end.
func (x *session) readReports(ctx context.Context) error {
	for {
		b, err := x.read(ctx, store.Partition{Topic: TopicReports}, x.reportsPos, maxReadBytes)
		if err != nil {
			return err
		}
		for i, data := range b.Records {
			if !x.ledger.ApplyReport(data, x.now()) {
				x.s.opts.Log.Error("record_ignored", "topic", TopicReports, "offset", b.From+int64(i))
			}
		}
		x.reportsPos = b.From + int64(len(b.Records))
		if len(b.Records) == 0 || x.reportsPos >= b.End {
			return nil
		}
	}
}

// readCounts reads the counts of all VMs to the end.
func (x *session) readCounts(ctx context.Context, now time.Time) error {
	boot := x.s.opts.BootTime()
	fresh := x.readBoot > 0 && boot-x.readBoot <= 2*readInterval
	for partition := range x.s.partitions() {
		for {
			b, err := x.read(ctx, store.Partition{Topic: TopicCounts, Index: partition}, x.ledger.Position(partition), maxReadBytes)
			if err != nil {
				return err
			}
			for i, data := range b.Records {
				ignored, ok := x.ledger.ApplyCounts(partition, b.From+int64(i), data, now, boot, fresh)
				if !ok {
					x.s.opts.Log.Error("record_ignored", "topic", TopicCounts, "partition", partition, "offset", b.From+int64(i))
				}
				if ignored != "" {
					x.s.opts.Log.Warn("usage_ignored", "process", ignored, "now", now, "reason", "its windows are far from this VM's time")
				}
			}
			x.ledger.Seek(partition, b.From+int64(len(b.Records)))
			if len(b.Records) == 0 || x.ledger.Position(partition) >= b.End {
				break
			}
		}
	}
	x.readBoot = boot
	return nil
}

// fix appends the counts of windows and reads the log of reports back: the first record of a window is valid, which may be another
// VM's, or one of this VM from an append whose outcome was unknown.
func (x *session) fix(ctx context.Context, windows []int64) error {
	if err := x.readReports(ctx); err != nil {
		return err
	}
	token, held := x.tenure.Held()
	if !held {
		return nil
	}
	var records [][]byte
	var missing []int64
	for _, w := range windows {
		if x.ledger.Fixed(w) {
			continue
		}
		data, err := x.ledger.Fix(w, x.s.opts.VM, token)
		if err != nil {
			return err
		}
		records, missing = append(records, data), append(missing, w)
	}
	if len(records) == 0 {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	_, err := x.s.opts.Store.Append(callCtx, store.Partition{Topic: TopicReports}, records)
	cancel()
	if err != nil {
		return err
	}
	if err := x.readReports(ctx); err != nil {
		return err
	}
	for _, w := range missing {
		if r := x.ledger.Report(w); r != nil {
			x.s.metrics.Add("fixed", 1)
			x.s.opts.Log.Info("usage_fixed", "window", w, "token", token, "by", r.VM, "organisations", len(r.Counts), "requests", total(r.Counts),
				"after_ms", x.now().Sub(windowEnd(w, x.s.opts.Window)).Milliseconds(), "read_ms_ago", x.now().Sub(x.readAt).Milliseconds())
		}
	}
	return nil
}

func total(counts map[string]int64) (n int64) {
	for _, c := range counts {
		n += c
	}
	return n
}

// send sends the fixed reports that the platform doesn't have, each inside a wave.
func (x *session) send(ctx context.Context) {
	if x.s.opts.BootTime() < x.pauseUntil {
		return
	}
	for _, r := range x.ledger.ToSend(x.now()) {
		if wait, ok := x.tenure.OrderDelay(); !ok || wait > 0 {
			return
		}
		if !x.tenure.MaySend() {
			if err := x.tenure.BeginWave(ctx); err != nil {
				x.lastReason = reasonStore
				return
			}
		}
		token, held := x.tenure.Held()
		if !held || !x.tenure.MaySend() {
			return
		}
		if err := x.report(ctx, token, r); err != nil {
			x.pauseUntil = x.s.opts.BootTime() + failureDelay
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// report makes one call to the platform's API.
func (x *session) report(ctx context.Context, token int64, r *reportRecord) error {
	begin := x.s.opts.BootTime()
	callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := x.s.opts.API.ReportUsage(callCtx, duties.Holder{VM: x.s.opts.VM, Token: token}, duties.Usage{Window: r.Window, Counts: r.Counts})
	if err != nil {
		if x.failingSince == 0 {
			x.failingSince = begin
		}
		x.lastReason = reasonAPI
		x.s.metrics.Add("send_failed", 1)
		x.apiOutage.Failed(x.s.opts.Log, "usage_api", err, "window", r.Window)
		return err
	}
	x.failingSince = 0
	x.apiOutage.Recovered(x.s.opts.Log, "usage_api")
	x.ledger.Sent(r.Window)
	x.lastReason = reasonNoHolder
	x.s.metrics.Add("sent", 1)
	x.s.opts.Log.Info("usage_sent", "window", r.Window, "token", token, "organisations", len(r.Counts), "requests", total(r.Counts),
		"after_ms", x.now().Sub(windowEnd(r.Window, x.s.opts.Window)).Milliseconds(), "ms", (x.s.opts.BootTime() - begin).Milliseconds())
	return nil
}

// handOn gives the duty to another VM if this one is cut off from the API. While the API takes no calls from any VM, the holder keeps the
// duty, as each change of the holder costs the handover delay.
func (x *session) handOn(ctx context.Context) {
	boot := x.s.opts.BootTime()
	if x.s.opts.CutOff == nil || x.failingSince == 0 || boot-max(x.failingSince, x.cutOffCheckedAt) < cutOffDelay {
		return
	}
	x.cutOffCheckedAt = boot
	if !x.s.opts.CutOff(ctx) {
		return
	}
	x.s.opts.Log.Warn("usage_handed_on", "failing_ms", (boot - x.failingSince).Milliseconds(), "reason", "this VM does not reach the platform's API, another one does")
	yieldCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	x.tenure.Yield(yieldCtx)
}

// logMissed logs the windows whose time has passed without a report.
func (x *session) logMissed() {
	for _, m := range x.ledger.Miss(x.now(), x.lastReason) {
		x.s.metrics.Add("missed", m.To-m.From+1)
		x.s.opts.Log.Error("usage_missed", "from", m.From, "to", m.To, "windows", m.To-m.From+1, "reason", m.Reason)
	}
}

func (x *session) updateMetrics() {
	l := x.ledger
	x.s.metrics.Add("late", l.Late-x.late)
	x.s.metrics.Add("copies", l.Copies-x.copies)
	x.s.metrics.Add("ignored", l.Ignored-x.ignored)
	x.late, x.copies, x.ignored = l.Late, l.Copies, l.Ignored
}
