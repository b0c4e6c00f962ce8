package logs

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Part is what a part of a step's time was spent on.
type Part string

// Parts of a step's time, in the order in which they usually come.
const (
	PartAccept     Part = "accept"      // the submission was written to the store, with refused and failed tries
	PartOpen       Part = "open"        // the holder read the submission
	PartNoHolder   Part = "no_holder"   // the holder was lost and its successor had not opened the step yet
	PartOldVersion Part = "old_version" // the item waited, as engines ran versions that the step does not accept
	PartLoading    Part = "loading"     // the item waited, as engines loaded weights
	PartFull       Part = "full"        // the item waited, as engines were full
	PartCooling    Part = "cooling"     // the item waited, as engines cooled down after failures
	PartAtLimit    Part = "at_limit"    // the item waited, as engines were at the rate limits that they had named
	PartWait       Part = "wait"        // the item waited for an engine, and no line tells why
	PartFirstEvent Part = "first_event" // the engine prepared the first event
	PartEvents     Part = "events"      // the engine generated events that are in the text
	PartRepeated   Part = "repeated"    // the engine generated events that were lost, so that another run repeated them
	PartStalled    Part = "stalled"     // the engine had stopped sending events
	PartScore      Part = "score"       // the scorer was called
	PartAppend     Part = "append"      // the result was written to the store and read back
	PartStoreOut   Part = "store_out"   // the result waited for the store
	PartUnread     Part = "unread"      // the result was in the log, and the submitter had not ended the step
	PartUnknown    Part = "unknown"     // no line tells
)

// AllParts lists the parts in their usual order.
var AllParts = []Part{PartAccept, PartOpen, PartNoHolder, PartOldVersion, PartLoading, PartFull, PartCooling, PartAtLimit, PartWait, PartFirstEvent, PartEvents,
	PartRepeated, PartStalled, PartScore, PartAppend, PartStoreOut, PartUnread, PartUnknown}

// Step is a step of a trainer, and where its time went: along the runs of the item that was listed last before the submitter
// ended the step, since all others were ready then.
type Step struct {
	Batch string `json:"batch"`
	Model string `json:"model,omitempty"`
	Step  int64  `json:"step"`
	// Began is the time of the first try to submit the step.
	Began time.Time `json:"began"`
	// Item is the item that was listed last.
	Item string `json:"item,omitempty"`
	// TotalMs is the time until the step was ended, or until its last line if it was not.
	TotalMs int64 `json:"total_ms"`
	Ended   bool  `json:"ended"`
	// Parts are the milliseconds of each part; they sum to TotalMs.
	Parts map[Part]int64 `json:"parts_ms"`
}

// ExplainSteps returns the steps whose submission is in the lines, by their begin. The lines must have been aligned by Align.
func ExplainSteps(lines []*Line) []*Step {
	histories := map[string]*stepHistory{}
	var waits []*Line
	outages := map[string][]interval{} // of the store, by VM
	for _, l := range lines {
		switch l.Event {
		case "items_wait":
			waits = append(waits, l)
		case "store_lost":
			outages[l.VM] = append(outages[l.VM], interval{from: l.Time})
		case "store_reached":
			if n := len(outages[l.VM]); n > 0 && outages[l.VM][n-1].to.IsZero() {
				outages[l.VM][n-1].to = l.Time
			}
		case "batch_submit", "batch_open", "item_run", "item_listed", "batch_done", "batch_end":
			id := l.Get("batch")
			if histories[id] == nil {
				histories[id] = &stepHistory{}
			}
			histories[id].add(l)
		}
	}
	var steps []*Step
	for id, h := range histories {
		if s := h.explain(waits, outages); s != nil {
			s.Batch = id
			steps = append(steps, s)
		}
	}
	slices.SortFunc(steps, func(a, b *Step) int { return cmp.Or(a.Began.Compare(b.Began), cmp.Compare(a.Batch, b.Batch)) })
	return steps
}

// interval is a period; to is zero if it lasts until the end of the lines.
type interval struct{ from, to time.Time }

// overlap returns how much of the period between from and to is in the interval.
func (i interval) overlap(from, to time.Time) time.Duration {
	if i.from.After(from) {
		from = i.from
	}
	if !i.to.IsZero() && i.to.Before(to) {
		to = i.to
	}
	return max(0, to.Sub(from))
}

// stepHistory holds the lines of a step by event, each in order of time.
type stepHistory struct {
	submits, opens, runs, listed []*Line
	end, last                    *Line
}

func (h *stepHistory) add(l *Line) {
	h.last = l
	switch l.Event {
	case "batch_submit":
		h.submits = append(h.submits, l)
	case "batch_open":
		h.opens = append(h.opens, l)
	case "item_run":
		h.runs = append(h.runs, l)
	case "item_listed":
		h.listed = append(h.listed, l)
	case "batch_end":
		if h.end == nil {
			h.end = l
		}
	}
}

func ms(l *Line, key string) time.Duration { return time.Duration(l.Int(key)) * time.Millisecond }

// explain divides the step's time, or returns nil if the lines don't contain its submission.
func (h *stepHistory) explain(waits []*Line, outages map[string][]interval) *Step {
	if len(h.submits) == 0 {
		return nil
	}
	began := h.submits[0].Time.Add(-ms(h.submits[0], "ms"))
	end := h.last.Time
	if h.end != nil {
		end = h.end.Time
	}
	accepted := end
	for _, l := range h.submits {
		if l.Get("err") == "<nil>" {
			accepted = l.Time
			break
		}
	}
	s := &Step{Step: h.submits[0].Int("step"), Began: began, Ended: h.end != nil, TotalMs: end.Sub(began).Milliseconds()}
	d := &division{parts: map[Part]time.Duration{}, at: began, end: end, opens: h.opens, waits: waits}
	if len(h.opens) > 0 {
		s.Model = h.opens[0].Get("model")
	}
	d.spend(PartAccept, accepted)
	if n := len(h.listed); n > 0 {
		// The holder logs a result when it has read it back, at times after the submitter has read it and ended the step.
		critical := h.listed[n-1]
		s.Item = critical.Get("id")
		d.runs(h.runsOf(s.Item, critical.Time))
		listed := critical.Time
		d.spend(PartScore, listed.Add(-ms(critical, "append_ms")))
		out := time.Duration(0)
		for _, o := range outages[critical.VM] {
			out = max(out, o.overlap(d.at, listed))
		}
		d.spend(PartStoreOut, d.at.Add(out))
		d.spend(PartAppend, listed)
		d.spend(PartUnread, end)
	} else if len(h.opens) > 0 {
		d.spend(PartOpen, h.opens[0].Time)
	}
	d.spend(PartUnknown, end)
	s.Parts = map[Part]int64{}
	for part, t := range d.parts {
		if n := t.Milliseconds(); n > 0 {
			s.Parts[part] = n
		}
	}
	return s
}

// runsOf returns the runs of an item that ended until the given time, in order of time.
func (h *stepHistory) runsOf(item string, until time.Time) []*Line {
	var runs []*Line
	for _, l := range h.runs {
		if l.Get("id") == item && !l.Time.After(until) {
			runs = append(runs, l)
		}
	}
	return runs
}

// division divides the time of a step into parts, from its begin on.
type division struct {
	parts        map[Part]time.Duration
	at, end      time.Time // the time up to at is divided
	opens, waits []*Line
}

// spend adds the time until to to a part.
func (d *division) spend(part Part, to time.Time) {
	if to.After(d.end) {
		to = d.end
	}
	if to.After(d.at) {
		d.parts[part] += to.Sub(d.at)
		d.at = to
	}
}

// runs divides the time until the end of an item's last run.
func (d *division) runs(runs []*Line) {
	reached := int64(0) // events of the text
	for n, run := range runs {
		from, events := run.Int("from_event"), run.Int("events")
		start := run.Time.Add(-ms(run, "ms"))
		first, silent := ms(run, "first_ms"), ms(run, "silent_ms")
		if run.Get("outcome") == "whole" {
			silent = 0
		}
		pace := time.Duration(0)
		if events > from {
			pace = (run.Time.Sub(start) - first - silent) / time.Duration(events-from)
		}
		// Events that the text had before this run and that no line tells of are from a run of a lost holder.
		d.gap(start, time.Duration(max(0, from-reached))*pace)
		if events <= from {
			d.spend(PartStalled, run.Time)
			continue
		}
		kept := events
		if n+1 < len(runs) {
			kept = min(events, max(from, runs[n+1].Int("from_event")))
		}
		d.spend(PartFirstEvent, start.Add(first))
		d.spend(PartEvents, run.Time.Add(-silent-time.Duration(events-kept)*pace))
		d.spend(PartRepeated, run.Time.Add(-silent))
		d.spend(PartStalled, run.Time)
		reached = max(reached, kept)
	}
}

// gap divides a period without a run: generated is how much of it went into events that were saved by a lost holder.
func (d *division) gap(to time.Time, generated time.Duration) {
	for n, open := range d.opens {
		if open.Time.Before(d.at) || open.Time.After(to) {
			continue
		}
		if n == 0 {
			d.spend(PartOpen, open.Time)
			continue
		}
		d.spend(PartEvents, d.at.Add(min(generated, open.Time.Sub(d.at))))
		generated = 0
		d.spend(PartNoHolder, open.Time)
	}
	if !to.After(d.at) {
		return
	}
	reasons := map[string]int64{}
	for _, l := range d.waits {
		if l.Time.After(d.at.Add(-waitLineInterval)) && l.Time.Before(to.Add(waitLineInterval)) {
			for key := range waitParts {
				reasons[key] += l.Int(key)
			}
		}
	}
	part, most := PartWait, int64(0)
	for _, key := range slices.Sorted(maps.Keys(reasons)) {
		if reasons[key] > most {
			part, most = waitParts[key], reasons[key]
		}
	}
	d.spend(part, to)
}

// waitLineInterval is the time between two items_wait lines of a holder.
const waitLineInterval = time.Second

// waitParts are the parts that the fields of items_wait stand for.
var waitParts = map[string]Part{"old_version": PartOldVersion, "loading": PartLoading, "full": PartFull, "cooling": PartCooling, "at_limit": PartAtLimit}
