package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/ibistrail/ibistrail/store"
)

// Bounds of reading data records.
const (
	// cacheBytes bounds the data records that a VM keeps: several pages of results.
	cacheBytes = 2 << 20
	// readAhead is about the size of a text; a read asks for as many as are needed.
	readAhead = 16 << 10
	// maxDataRead bounds one read.
	maxDataRead = 1 << 20
)

// data reads the data partition of an index partition, with a small cache of its newest records.
type data struct {
	store store.Log
	id    store.Partition

	mu    sync.Mutex
	by    map[int64][]byte
	order []int64
	size  int
}

func newData(log store.Log, partition int) *data {
	return &data{store: log, id: store.Partition{Topic: dataTopic, Index: partition}, by: map[int64][]byte{}}
}

// put remembers a record.
func (d *data) put(offset int64, record []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.by[offset]; ok || len(record) > cacheBytes {
		return
	}
	d.by[offset] = record
	d.order = append(d.order, offset)
	for d.size += len(record); d.size > cacheBytes; {
		oldest := d.order[0]
		d.order = d.order[1:]
		d.size -= len(d.by[oldest])
		delete(d.by, oldest)
	}
}

func (d *data) cached(offset int64) ([]byte, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.by[offset]
	return r, ok
}

// get returns the record at offset. ahead is the number of records of a text's size that will be
// asked for next.
func (d *data) get(ctx context.Context, offset int64, ahead int) ([]byte, error) {
	if r, ok := d.cached(offset); ok {
		return r, nil
	}
	b, err := d.store.Read(ctx, d.id, offset, 0, min(maxDataRead, max(1, ahead)*readAhead))
	if err != nil {
		return nil, fmt.Errorf("data of partition %d at offset %d: %w", d.id.Index, offset, err)
	}
	if len(b.Records) == 0 {
		return nil, fmt.Errorf("data of partition %d ends before offset %d", d.id.Index, offset)
	}
	for i := len(b.Records) - 1; i >= 0; i-- {
		d.put(b.From+int64(i), b.Records[i])
	}
	return b.Records[0], nil
}

// span returns the records of a span, joined.
func (d *data) span(ctx context.Context, s span, ahead int) ([]byte, error) {
	if s.Count == 1 {
		return d.get(ctx, s.Offset, ahead)
	}
	var out []byte
	for i := range s.Count {
		r, err := d.get(ctx, s.Offset+int64(i), maxDataRead/readAhead)
		if err != nil {
			return nil, err
		}
		out = append(out, r...)
	}
	return out, nil
}

// items returns the items of a submission.
func (d *data) items(ctx context.Context, spans []span) ([]Item, error) {
	var all []byte
	for _, s := range spans {
		part, err := d.span(ctx, s, maxDataRead/readAhead)
		if err != nil {
			return nil, err
		}
		all = append(all, part...)
	}
	return decodeItems(all)
}

// texts returns the unfinished texts of items from the data records that hold their parts.
func (d *data) texts(ctx context.Context, saved map[string][]span) (map[string]*savedText, error) {
	out := map[string]*savedText{}
	for item, parts := range saved {
		t := &savedText{}
		for _, s := range parts {
			r, err := d.span(ctx, s, 1)
			var truncated *store.TruncatedError
			if errors.As(err, &truncated) {
				continue
			}
			if err != nil {
				return nil, err
			}
			var p Progress
			if err := json.Unmarshal(r, &p); err != nil {
				return nil, fmt.Errorf("saved text at offset %d: %w", s.Offset, err)
			}
			if p.ItemID == item {
				t.add(&p)
			}
		}
		if len(t.events) > 0 {
			out[item] = t
		}
	}
	return out, nil
}
