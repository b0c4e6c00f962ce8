package batch

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

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

// dataPartition reads the data of an index partition by location. It caches recently written and read records.
type dataPartition struct {
	store store.Log
	index int

	mu          sync.Mutex
	records     map[int64][]byte
	order       []int64
	cachedBytes int
}

func newDataPartition(log store.Log, partition int) *dataPartition {
	return &dataPartition{store: log, index: partition, records: map[int64][]byte{}}
}

// read returns records from a location on, about maxBytes in total. Locations in the reply and in a *store.TruncatedError are of the same
// part.
func (d *dataPartition) read(ctx context.Context, from int64, maxBytes int) (store.Batch, error) {
	part := partOf(from)
	b, err := d.store.Read(ctx, dataPart(d.index, part), offsetOf(from), 0, maxBytes)
	var truncated *store.TruncatedError
	if errors.As(err, &truncated) {
		return store.Batch{}, &store.TruncatedError{First: location(part, truncated.First)}
	}
	b.From, b.End = location(part, b.From), location(part, b.End)
	return b, err
}

// cache adds the record at a location and evicts the oldest ones beyond cacheBytes.
func (d *dataPartition) cache(at int64, record []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.records[at]; ok || len(record) > cacheBytes {
		return
	}
	d.records[at] = record
	d.order = append(d.order, at)
	for d.cachedBytes += len(record); d.cachedBytes > cacheBytes; {
		oldest := d.order[0]
		d.order = d.order[1:]
		d.cachedBytes -= len(d.records[oldest])
		delete(d.records, oldest)
	}
}

func (d *dataPartition) cached(at int64) ([]byte, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.records[at]
	return r, ok
}

// get returns the record at a location. ahead is the number of records from there on that are expected to be needed;
// they are read and cached together.
func (d *dataPartition) get(ctx context.Context, at int64, ahead int) ([]byte, error) {
	if r, ok := d.cached(at); ok {
		return r, nil
	}
	b, err := d.read(ctx, at, min(maxReadBytes, max(1, ahead)*typicalTextBytes))
	if err != nil {
		return nil, fmt.Errorf("data of partition %d, part %d, at offset %d: %w", d.index, partOf(at), offsetOf(at), err)
	}
	if len(b.Records) == 0 {
		return nil, fmt.Errorf("data of partition %d, part %d, ends before offset %d", d.index, partOf(at), offsetOf(at))
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

// readTexts returns the unfinished texts by item, joined from the saved parts; a text may have no event. Parts that the log has
// truncated are skipped.
func (d *dataPartition) readTexts(ctx context.Context, saved map[string][]span) (map[string]*partialText, error) {
	var spans []span
	for _, parts := range saved {
		spans = append(spans, parts...)
	}
	records, err := d.readRecords(ctx, spans)
	if err != nil {
		return nil, err
	}
	texts := map[string]*partialText{}
	for item, parts := range saved {
		t := &partialText{}
		for _, s := range parts {
			data, ok := joinRecords(records, s)
			if !ok || len(data) == 0 {
				continue
			}
			var p Progress
			if err := json.Unmarshal(data, &p); err != nil {
				return nil, fmt.Errorf("decode saved text at offset %d: %w", s.Offset, err)
			}
			if p.ItemID == item {
				t.add(&p)
			}
		}
		texts[item] = t
	}
	return texts, nil
}

// joinRecords returns the concatenated records of a span; ok is false if one is missing.
func joinRecords(records map[int64][]byte, s span) (data []byte, ok bool) {
	for i := range int64(s.Count) {
		r, ok := records[s.Offset+i]
		if !ok {
			return nil, false
		}
		data = append(data, r...)
	}
	return data, true
}

// readRecords returns the records of spans by location, without those that the log has truncated. Spans near each other are
// read together, and several reads run at a time: after the loss of a holder its successor needs hundreds of
// small records before it can continue.
func (d *dataPartition) readRecords(ctx context.Context, spans []span) (map[int64][]byte, error) {
	var mu sync.Mutex
	records := map[int64][]byte{}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for _, s := range mergeSpans(spans) {
		group.Go(func() error {
			for next, end := s.Offset, s.Offset+int64(s.Count); next < end; {
				b, err := d.read(ctx, next, int(min(end-next, maxReadBytes/typicalTextBytes))*typicalTextBytes)
				var truncated *store.TruncatedError
				if errors.As(err, &truncated) && truncated.First > next {
					next = truncated.First
					continue
				}
				if err != nil {
					return fmt.Errorf("data of partition %d, part %d, at offset %d: %w", d.index, partOf(next), offsetOf(next), err)
				}
				if len(b.Records) == 0 {
					return fmt.Errorf("data of partition %d, part %d, ends before offset %d", d.index, partOf(next), offsetOf(next))
				}
				mu.Lock()
				for i, r := range b.Records {
					records[b.From+int64(i)] = r
				}
				mu.Unlock()
				next = b.From + int64(len(b.Records))
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return records, nil
}

// maxConcurrentReads limits the concurrent reads of one submission's texts.
const maxConcurrentReads = 8

// mergeSpans returns spans in the order of the log that cover the given ones. Spans at most maxTextGap records apart
// are merged, up to the records of one read.
func mergeSpans(spans []span) []span {
	sorted := slices.SortedFunc(slices.Values(spans), func(a, b span) int { return cmp.Compare(a.Offset, b.Offset) })
	var out []span
	for _, s := range sorted {
		if n := len(out) - 1; n >= 0 && s.Offset <= out[n].Offset+int64(out[n].Count)+maxTextGap &&
			s.Offset+int64(s.Count)-out[n].Offset <= maxReadBytes/typicalTextBytes {
			out[n].Count = max(out[n].Count, int(s.Offset-out[n].Offset)+s.Count)
			continue
		}
		out = append(out, s)
	}
	return out
}
