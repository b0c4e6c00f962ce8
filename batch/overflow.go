package batch

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/store"
)

// Shares and times of the overflow of a data partition.
const (
	// mainPartShare is the share of the store's bound that recent data may take up in the main part. Data that is still needed may be
	// older than the recent data by the run time of a batch.
	mainPartShare = 0.5
	// overflowStepShare is the share of the bound by which the overflow parts may differ, so that the texts of a batch stay together.
	overflowStepShare = 1.0 / 16
	// largeSubmissionShare is the share of the bound from which on the items of a submission are written to an overflow part.
	largeSubmissionShare = 1.0 / 256
	// measureInterval is how often the recent data is added up, unless much is appended.
	measureInterval = time.Second
	// trimInterval is the time between two trims while data overflows.
	trimInterval = 5 * time.Second
	// trimDelay is how long records are kept that no record of the index refers to: their writer may be about to append it.
	trimDelay = 30 * time.Second
	// trimIndexAge is the age of the index up to which it tells what is needed.
	trimIndexAge = 2 * time.Second
	// trimClockSlack is added to the retention, as submissions are dated by the clocks of other VMs.
	trimClockSlack = 5 * time.Second
)

// overflow decides in which parts data is stored, by the bytes of recent data in each. It does no I/O. Its load is a pool whose
// texts exceed what the store keeps of one partition within the retention.
type overflow struct {
	// limit is the number of bytes that the store keeps of a partition; 0 if it is unlimited.
	limit int64
	// parts is the number of parts, the main one included.
	parts int
	// texts is the part that currently gets texts.
	texts int
}

// possible reports whether there are overflow parts.
func (o *overflow) possible() bool { return o.limit > 0 && o.parts > firstTextPart }

func (o *overflow) share(of float64) int64 { return int64(of * float64(o.limit)) }

// update chooses the part of texts. recent are the bytes of recent data by part. The part changes only when it has clearly
// more than another.
func (o *overflow) update(recent []int64) {
	if !o.possible() {
		return
	}
	mainLimit, step := o.share(mainPartShare), o.share(overflowStepShare)
	if o.texts != mainPart {
		mainLimit -= step
	}
	if recent[mainPart] < mainLimit {
		o.texts = mainPart
		return
	}
	least := firstTextPart
	for part := firstTextPart; part < o.parts; part++ {
		if recent[part] < recent[least] {
			least = part
		}
	}
	if o.texts == mainPart || recent[o.texts] >= recent[least]+step {
		o.texts = least
	}
}

// progress returns the part of unfinished texts.
func (o *overflow) progress() int {
	if o.texts == mainPart {
		return mainPart
	}
	return progressPart
}

// items returns the part of the items of a submission of the given size.
func (o *overflow) items(submissionID string, size int64) int {
	if o.possible() && (o.texts != mainPart || size >= o.share(largeSubmissionShare)) {
		return firstTextPart + store.PartitionIndex(submissionID, o.parts-firstTextPart)
	}
	return mainPart
}

// trimPlanner plans which records can be deleted. It does no I/O.
type trimPlanner struct {
	// marks hold where the parts ended at earlier times, the oldest first.
	marks   []trimMark
	trimmed map[int]int64
}

type trimMark struct {
	at   time.Time
	ends map[int]int64
}

// plan returns the locations before which parts can be trimmed. needed are the first locations that the index needs, ends those after
// the last records that this VM appended, by part.
func (p *trimPlanner) plan(now time.Time, needed, ends map[int]int64) map[int]int64 {
	settled := map[int]int64{}
	for len(p.marks) > 0 && now.Sub(p.marks[0].at) >= trimDelay {
		settled = p.marks[0].ends
		if len(p.marks) > 1 && now.Sub(p.marks[1].at) < trimDelay {
			break
		}
		p.marks = p.marks[1:]
	}
	p.marks = append(p.marks, trimMark{now, ends})
	out := map[int]int64{}
	for part, before := range settled {
		if first, ok := needed[part]; ok {
			before = min(before, first)
		}
		if offsetOf(before) > 0 && before > p.trimmed[part] {
			out[part] = before
		}
	}
	return out
}

// dataParts chooses the parts for new data of an index partition and trims them while data overflows.
type dataParts struct {
	store     store.Log
	partition *partition
	log       *slog.Logger

	mu         sync.Mutex
	overflow   overflow
	measuredAt time.Time
	// unmeasured are the bytes that this VM has appended since then.
	unmeasured int64
	// overflows is set if there is recent data in another part than the main one.
	overflows bool
	ends      map[int]int64
	trims     trimPlanner
	trimmedAt time.Time
	trimming  bool
}

func newDataParts(log store.Log, p *partition, limit int64, partitions int) *dataParts {
	return &dataParts{
		store: log, partition: p, log: p.log, overflow: overflow{limit: limit, parts: partitions + 1},
		ends: map[int]int64{}, trims: trimPlanner{trimmed: map[int]int64{}},
	}
}

// choose returns the parts for texts and for unfinished texts.
func (d *dataParts) choose() (texts, progress int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.measure(time.Now())
	return d.overflow.texts, d.overflow.progress()
}

// chooseItems returns the part for the items of a submission.
func (d *dataParts) chooseItems(submissionID string, records [][]byte) int {
	size := 0
	for _, r := range records {
		size += len(r)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.measure(time.Now())
	return d.overflow.items(submissionID, int64(size))
}

// measure adds up the recent data by what this VM has read of the index. The caller holds the lock.
func (d *dataParts) measure(now time.Time) {
	if !d.overflow.possible() || now.Sub(d.measuredAt) < measureInterval && d.unmeasured < d.overflow.share(overflowStepShare) {
		return
	}
	d.measuredAt, d.unmeasured = now, 0
	d.partition.mu.Lock()
	recent := d.partition.index.dataSince(now.Add(-d.partition.readable), d.overflow.parts)
	d.partition.mu.Unlock()
	before := d.overflow.texts
	d.overflow.update(recent)
	d.overflows = slices.Max(recent[progressPart:]) > 0
	if d.overflow.texts != before {
		d.log.Info("data_part", "partition", d.partition.id.Index, "from", before, "to", d.overflow.texts, "main_bytes", recent[mainPart], "to_bytes", recent[d.overflow.texts])
	}
}

// appended records an append of this VM, of size bytes up to the location end, and trims the parts if data overflows.
func (d *dataParts) appended(ctx context.Context, size, end int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unmeasured += size
	part := partOf(end)
	d.ends[part] = max(d.ends[part], end)
	now := time.Now()
	if !d.overflows || d.trimming || now.Sub(d.trimmedAt) < trimInterval {
		return
	}
	d.trimming, d.trimmedAt = true, now
	go d.trim(ctx, now)
}

// trim deletes the data that no batch needs any more: the store keeps a limited number of bytes in all.
func (d *dataParts) trim(ctx context.Context, now time.Time) {
	defer func() {
		d.mu.Lock()
		d.trimming = false
		d.mu.Unlock()
	}()
	p := d.partition
	p.mu.Lock()
	current := p.caughtUp() && now.Sub(p.caughtUpAt) < trimIndexAge
	var needed map[int]int64
	if current {
		needed = p.index.neededData(now.Add(-d.partition.readable - trimClockSlack))
	}
	p.mu.Unlock()
	if !current {
		return
	}
	d.mu.Lock()
	plan := d.trims.plan(now, needed, maps.Clone(d.ends))
	d.mu.Unlock()
	for part, before := range plan {
		err := d.store.Trim(ctx, dataPart(p.id.Index, part), offsetOf(before))
		d.log.Info("data_trim", "partition", p.id.Index, "part", part, "before", offsetOf(before), "err", err)
		if err == nil {
			d.mu.Lock()
			d.trims.trimmed[part] = before
			d.mu.Unlock()
		}
	}
}
