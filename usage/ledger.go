package usage

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// Timing of reports.
const (
	// lateWait is the time after a window's end at which its counts are fixed. A VM appends a count at most 1 s after the request, or 0.4 s
	// later if a target has not answered it at once; clocks differ by up to 2 s.
	lateWait = 3200 * time.Millisecond
	// flushWait is the time after an outage of the store in which the VMs append what they counted in it.
	flushWait = 1500 * time.Millisecond
	// sendMargin is the time before the end of a report's time at which counts are fixed without a further wait.
	sendMargin = 2 * time.Second
	// maxWindowDistance is the largest difference between a counted window and the holder's time. Counts of others are ignored.
	maxWindowDistance = time.Minute
	// skewMemory is how long a VM's clock reading counts, minSkewVMs how many VMs must have sent one, and skewTolerance the difference
	// between this VM's clock and the median from which on the median is used. A reading is up to a second old when it is read.
	skewMemory    = 10 * time.Second
	minSkewVMs    = 3
	skewTolerance = 1500 * time.Millisecond
	// maxReaders limits the processes whose sequence numbers are kept; the one that was silent for longest is forgotten first.
	maxReaders = 4096
	// maxMissed limits the windows that are called missed at a time, after a long stop of the system.
	maxMissed = 1000
	// maxIgnoredLogs limits the processes whose ignored counts are reported to the caller.
	maxIgnoredLogs = 64
)

// Status is the state of a window.
type Status string

// States of a window.
const (
	StatusOpen   Status = "open"
	StatusFixed  Status = "fixed"
	StatusSent   Status = "sent"
	StatusMissed Status = "missed"
)

// Ledger is what the holder of the duty knows about counts and reports. It is not safe for concurrent use.
type Ledger struct {
	// Window is the length of a window, Due the time after its end by which it must be reported.
	Window, Due time.Duration

	// readers holds the sequence numbers and clock readings by process.
	readers map[string]*reader
	// counts and firstOffset hold, by window that is not fixed, the counts and the lowest offset of a record with counts by partition.
	counts      map[int64]map[string]int64
	firstOffset map[int64][]int64
	// position holds the offset of the next record by partition.
	position []int64
	windows  map[int64]*windowEntry
	// first is the lowest window to report, done the highest one up to which all were sent or missed.
	first, done int64
	// started is the lowest window that was in time when the ledger was started.
	started int64
	// ignored holds the processes whose counts were ignored because of their window.
	ignored map[string]bool

	// Copies, Late and Ignored count records appended twice, requests that came after their window was fixed, and requests of absurd windows.
	Copies, Late, Ignored int64
}

// reader is what is known of a process that counts.
type reader struct {
	seq int64
	// offset is the difference between the process's time of day and the holder's time since boot: the greatest one since seenAt.
	offset, seenAt time.Duration
	lastAt         time.Duration
}

type windowEntry struct {
	status Status
	report *reportRecord // the first record of the window in log order; nil if none is known
	reason string
}

// NewLedger returns a ledger of counts in a number of partitions.
func NewLedger(length, due time.Duration, partitions int) *Ledger {
	return &Ledger{
		Window: length, Due: due, readers: map[string]*reader{}, counts: map[int64]map[string]int64{}, firstOffset: map[int64][]int64{},
		position: make([]int64, partitions), windows: map[int64]*windowEntry{}, ignored: map[string]bool{},
	}
}

// Start sets the lowest window to report, after the log of reports was applied. If it has no records, nothing was ever reported, and the
// windows before the process start are not.
func (l *Ledger) Start(processStart, now time.Time, reportsExist bool) {
	oldest := l.oldestInTime(now)
	l.started = oldest
	switch {
	case !reportsExist:
		l.first = max(oldest, windowAt(processStart, l.Window))
	case len(l.windows) == 0:
		l.first = windowAt(now, l.Window) // the store has forgotten what was fixed, and earlier windows may have been sent
	case l.done > 0:
		l.first = max(l.done+1, oldest-maxMissed) // those that were missed since are logged
	default:
		l.first = oldest
	}
}

// Ahead reports whether the ledger was at a later time than now: the clock was set back, and windows are taken for missed that are not.
func (l *Ledger) Ahead(now time.Time) bool { return l.first > windowAt(now, l.Window)+1 }

// oldestInTime returns the oldest window that may still be reported.
func (l *Ledger) oldestInTime(now time.Time) int64 { return windowAt(now.Add(-l.Due), l.Window) }

// Position returns the offset of the next record of a partition.
func (l *Ledger) Position(partition int) int64 { return l.position[partition] }

// Seek sets the offset of the next record of a partition. Records before it were lost or are not needed.
func (l *Ledger) Seek(partition int, offset int64) { l.position[partition] = offset }

// Now returns the time of day: that of this VM, or the median of the VMs' clocks if this VM's differs much.
func (l *Ledger) Now(own time.Time, boot time.Duration) time.Time {
	var offsets []time.Duration
	for _, r := range l.readers {
		if r.seenAt > 0 && boot-r.lastAt < skewMemory {
			offsets = append(offsets, r.offset)
		}
	}
	if len(offsets) < minSkewVMs {
		return own
	}
	slices.Sort(offsets)
	median := time.Unix(0, int64(offsets[len(offsets)/2]+boot))
	if own.Sub(median).Abs() <= skewTolerance {
		return own
	}
	return median
}

// ApplyCounts applies a record of TopicCounts. With fresh, the record was appended about a second ago at most, so that its time tells how
// the clock of its VM differs. It returns false if the record can't be decoded, and the name of a process if counts of it
// were ignored for the first time, because their window is far from now.
func (l *Ledger) ApplyCounts(partition int, offset int64, data []byte, now time.Time, boot time.Duration, fresh bool) (ignored string, ok bool) {
	if offset < l.position[partition] {
		return "", true
	}
	l.position[partition] = offset + 1
	c, err := decode[countRecord](data)
	if err != nil {
		return "", false
	}
	r := l.readers[c.Process]
	if r == nil {
		l.forgetReader()
		r = &reader{}
		l.readers[c.Process] = r
	}
	r.lastAt = boot
	if o := time.Duration(c.AtMs)*time.Millisecond - boot; fresh && c.AtMs > 0 && (r.seenAt == 0 || o >= r.offset || boot-r.seenAt > skewMemory) {
		r.offset, r.seenAt = o, boot
	}
	if c.Seq <= r.seq {
		l.Copies++
		return "", true
	}
	r.seq = c.Seq
	for w, counts := range c.Counts {
		if current, limit := windowAt(now, l.Window), int64((maxWindowDistance+l.Due)/l.Window)+1; w < current-limit || w > current+limit {
			for _, n := range counts {
				l.Ignored += n
			}
			if !l.ignored[c.Process] && len(l.ignored) < maxIgnoredLogs {
				l.ignored[c.Process] = true
				ignored = c.Process
			}
			continue
		}
		l.add(partition, offset, w, counts)
	}
	return ignored, true
}

// add adds counts to a window that is not fixed.
func (l *Ledger) add(partition int, offset, w int64, counts map[string]int64) {
	if l.windows[w] != nil || w < l.first || w <= l.done {
		for _, n := range counts {
			l.Late += max(0, n)
		}
		return
	}
	if l.counts[w] == nil {
		l.counts[w] = map[string]int64{}
		l.firstOffset[w] = slices.Clone(l.position)
		l.firstOffset[w][partition] = offset
	}
	for organisation, n := range counts {
		l.counts[w][organisation] += n
	}
}

// forgetReader makes room for another process.
func (l *Ledger) forgetReader() {
	if len(l.readers) < maxReaders {
		return
	}
	oldest := ""
	for p, r := range l.readers {
		if oldest == "" || r.lastAt < l.readers[oldest].lastAt {
			oldest = p
		}
	}
	delete(l.readers, oldest)
}

// ApplyReport applies a record of TopicReports. It returns false if the record can't be decoded.
func (l *Ledger) ApplyReport(data []byte, now time.Time) bool {
	r, err := decode[reportRecord](data)
	if err != nil {
		return false
	}
	if l.windows[r.Window] == nil {
		l.windows[r.Window] = &windowEntry{status: StatusFixed, report: r}
		delete(l.counts, r.Window)
		delete(l.firstOffset, r.Window)
	}
	if r.Window <= windowAt(now.Add(maxWindowDistance), l.Window) { // else the holder's clock was far ahead
		l.done = max(l.done, min(r.Done, r.Window-1))
	}
	return true
}

// From returns the offsets in the partitions of counts from which a successor reads, according to the record of the newest window that has
// begun.
func (l *Ledger) From(now time.Time) []int64 {
	var newest *windowEntry
	for _, w := range l.windows {
		if w.report != nil && w.report.Window <= windowAt(now, l.Window) && (newest == nil || w.report.Window > newest.report.Window) {
			newest = w
		}
	}
	if newest == nil {
		return nil
	}
	return newest.report.From
}

// ToFix returns the windows whose counts are to be fixed now. readAt is when the reading of the counts began that was completed last,
// storeBackAt the end of the store's last outage.
func (l *Ledger) ToFix(now, readAt, storeBackAt time.Time) []int64 {
	var out []int64
	if readAt.After(now) {
		return nil // the clock was set back since
	}
	for w := max(l.first, l.oldestInTime(now)); ; w++ {
		end := windowEnd(w, l.Window)
		if readAt.Before(end.Add(l.lateWait())) {
			return out
		}
		if readAt.Before(storeBackAt.Add(flushWait)) && now.Before(end.Add(l.Due-sendMargin)) {
			return out // in the order of the windows, so that From of a later window covers no earlier one
		}
		if l.windows[w] == nil && !now.After(end.Add(l.Due)) {
			out = append(out, w)
		}
	}
}

// ReadDue reports whether a window has become due since the reading of the counts that began at readAt.
func (l *Ledger) ReadDue(now, readAt time.Time) bool {
	newest := windowAt(now.Add(-l.lateWait()), l.Window) - 1
	return readAt.Before(windowEnd(newest, l.Window).Add(l.lateWait()))
}

// lateWait returns the time after a window's end at which its counts are fixed.
func (l *Ledger) lateWait() time.Duration { return min(lateWait, l.Due/3) }

// Fix returns the record that fixes a window's counts.
func (l *Ledger) Fix(w int64, vm string, token int64) ([]byte, error) {
	r := reportRecord{Window: w, Counts: map[string]int64{}, VM: vm, Token: token, From: slices.Clone(l.position), Done: l.done}
	for organisation, n := range l.counts[w] {
		if n > 0 {
			r.Counts[organisation] = n
		}
	}
	for later, offsets := range l.firstOffset {
		if later > w {
			for i := range r.From {
				r.From[i] = min(r.From[i], offsets[i])
			}
		}
	}
	return json.Marshal(&r)
}

// Fixed reports whether the counts of a window are fixed.
func (l *Ledger) Fixed(w int64) bool { return l.windows[w] != nil }

// ToSend returns the fixed reports that have not been sent, the oldest first.
func (l *Ledger) ToSend(now time.Time) []*reportRecord {
	var out []*reportRecord
	for w, x := range l.windows {
		if x.status == StatusFixed && w > l.done && w >= l.first && !now.After(windowEnd(w, l.Window).Add(l.Due)) && !now.Before(windowEnd(w, l.Window)) {
			out = append(out, x.report)
		}
	}
	slices.SortFunc(out, func(a, b *reportRecord) int { return cmp.Compare(a.Window, b.Window) })
	return out
}

// Sent records that the platform has a window's report.
func (l *Ledger) Sent(w int64) {
	l.windows[w].status = StatusSent
	l.advance()
}

// Missed is a run of windows whose time has passed without a report, for the same reason.
type Missed struct {
	From, To int64
	Reason   string
}

// Miss marks the windows whose time has passed without a report and returns them. reason tells why, as far as the holder knows.
func (l *Ledger) Miss(now time.Time, reason string) []Missed {
	var out []Missed
	for w := max(l.first, l.oldestInTime(now)-maxMissed); w < l.oldestInTime(now); w++ {
		x := l.windows[w]
		if x != nil && x.status != StatusFixed || w <= l.done {
			continue
		}
		if x == nil {
			x = &windowEntry{}
			l.windows[w] = x
		}
		x.status, x.reason = StatusMissed, reason
		if x.report != nil && w < l.started {
			x.reason = reasonUnknown
		}
		delete(l.counts, w)
		delete(l.firstOffset, w)
		if n := len(out); n > 0 && out[n-1].To == w-1 && out[n-1].Reason == x.reason {
			out[n-1].To = w
		} else {
			out = append(out, Missed{w, w, x.reason})
		}
	}
	l.first = max(l.first, l.oldestInTime(now))
	l.advance()
	l.forget()
	return out
}

// advance moves done up to the window before the first one that is still to be reported.
func (l *Ledger) advance() {
	w := max(l.done+1, l.first)
	for l.windows[w] != nil && l.windows[w].status != StatusFixed {
		w++
	}
	l.done = max(l.done, w-1)
}

// shownWindows is the number of past windows that are kept for the state dump.
const shownWindows = 12

// forget removes windows that are no longer needed. Those fixed by a holder whose clock was ahead are kept: their counts remain valid.
func (l *Ledger) forget() {
	for w := range l.windows {
		if w < l.first-shownWindows {
			delete(l.windows, w)
		}
	}
	for w := range l.counts {
		if w < l.first {
			delete(l.counts, w)
			delete(l.firstOffset, w)
		}
	}
}

// WindowState is a window's entry in the state dump.
type WindowState struct {
	Window int64            `json:"window"`
	Start  time.Time        `json:"start"`
	Status Status           `json:"status"`
	Counts map[string]int64 `json:"counts,omitempty"`
	Reason string           `json:"reason,omitempty"`
}

// Windows returns the last windows for the state dump, the oldest first.
func (l *Ledger) Windows() []WindowState {
	out := make([]WindowState, 0, len(l.windows)+len(l.counts))
	for w, x := range l.windows {
		s := WindowState{Window: w, Start: windowEnd(w-1, l.Window), Status: x.status, Reason: x.reason}
		if x.report != nil {
			s.Counts = maps.Clone(x.report.Counts)
		}
		if x.status == StatusFixed && w <= l.done {
			s.Status = StatusSent
		}
		out = append(out, s)
	}
	for w, counts := range l.counts {
		out = append(out, WindowState{Window: w, Start: windowEnd(w-1, l.Window), Status: StatusOpen, Counts: maps.Clone(counts)})
	}
	slices.SortFunc(out, func(a, b WindowState) int { return cmp.Compare(a.Window, b.Window) })
	return out[max(0, len(out)-shownWindows):]
}

// Report returns the fixed report of a window, or nil.
func (l *Ledger) Report(w int64) *reportRecord {
	if x := l.windows[w]; x != nil {
		return x.report
	}
	return nil
}
