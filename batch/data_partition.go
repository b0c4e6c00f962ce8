package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/ibistrail/ibistrail/store"
)

// Size limits of reads and of the cache, in bytes.
const (
	// cacheBytes limits the cached data records of a partition; it holds several pages of results.
	cacheBytes = 2 << 20
	// typicalTextBytes is the approximate size of a text; a read asks for this size times the expected records.
	typicalTextBytes = 16 << 10
	// maxReadBytes limits one read.
	maxReadBytes = 1 << 20
)

// dataPartition reads the data partition that belongs to an index partition. It caches recently written and read records.
type dataPartition struct {
	store store.Log
	id    store.Partition

	mu          sync.Mutex
	records     map[int64][]byte
	order       []int64
	cachedBytes int
}

func newDataPartition(log store.Log, partition int) *dataPartition {
	return &dataPartition{store: log, id: store.Partition{Topic: dataTopic, Index: partition}, records: map[int64][]byte{}}
}

// cache adds a record and evicts the oldest ones beyond cacheBytes.
func (d *dataPartition) cache(offset int64, record []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.records[offset]; ok || len(record) > cacheBytes {
		return
	}
	d.records[offset] = record
	d.order = append(d.order, offset)
	for d.cachedBytes += len(record); d.cachedBytes > cacheBytes; {
		oldest := d.order[0]
		d.order = d.order[1:]
		d.cachedBytes -= len(d.records[oldest])
		delete(d.records, oldest)
	}
}

func (d *dataPartition) cached(offset int64) ([]byte, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.records[offset]
	return r, ok
}

// get returns the record at offset. ahead is the number of records from offset on that are expected to be needed;
// they are read and cached together.
func (d *dataPartition) get(ctx context.Context, offset int64, ahead int) ([]byte, error) {
	if r, ok := d.cached(offset); ok {
		return r, nil
	}
	b, err := d.store.Read(ctx, d.id, offset, 0, min(maxReadBytes, max(1, ahead)*typicalTextBytes))
	if err != nil {
		return nil, fmt.Errorf("data of partition %d at offset %d: %w", d.id.Index, offset, err)
	}
	if len(b.Records) == 0 {
		return nil, fmt.Errorf("data of partition %d ends before offset %d", d.id.Index, offset)
	}
	for i := len(b.Records) - 1; i >= 0; i-- {
		d.cache(b.From+int64(i), b.Records[i])
	}
	return b.Records[0], nil
}

// readSpan returns the concatenated records of a span.
func (d *dataPartition) readSpan(ctx context.Context, s span, ahead int) ([]byte, error) {
	if s.Count == 1 {
		return d.get(ctx, s.Offset, ahead)
	}
	var out []byte
	for i := range s.Count {
		r, err := d.get(ctx, s.Offset+int64(i), maxReadBytes/typicalTextBytes)
		if err != nil {
			return nil, err
		}
		out = append(out, r...)
	}
	return out, nil
}

// readItems reads and decodes the items of a submission.
func (d *dataPartition) readItems(ctx context.Context, spans []span) ([]Item, error) {
	var all []byte
	for _, s := range spans {
		part, err := d.readSpan(ctx, s, maxReadBytes/typicalTextBytes)
		if err != nil {
			return nil, err
		}
		all = append(all, part...)
	}
	return decodeItems(all)
}

// readTexts returns the unfinished texts by item, joined from the saved parts. Parts that the log has truncated are skipped.
func (d *dataPartition) readTexts(ctx context.Context, saved map[string][]span) (map[string]*partialText, error) {
	texts := map[string]*partialText{}
	for item, parts := range saved {
		t := &partialText{}
		for _, s := range parts {
			r, err := d.readSpan(ctx, s, 1)
			var truncated *store.TruncatedError
			if errors.As(err, &truncated) {
				continue
			}
			if err != nil {
				return nil, err
			}
			var p Progress
			if err := json.Unmarshal(r, &p); err != nil {
				return nil, fmt.Errorf("decode saved text at offset %d: %w", s.Offset, err)
			}
			if p.ItemID == item {
				t.add(&p)
			}
		}
		if len(t.events) > 0 {
			texts[item] = t
		}
	}
	return texts, nil
}
