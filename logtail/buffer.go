package logtail

import "github.com/ibistrail/ibistrail/trial"

// Limits of the records buffered for peers.
const (
	// MaxBufferedRecords is the maximum number of records that a tail buffers for peers.
	MaxBufferedRecords = 2048
	// MaxBufferedBytes is the maximum size of their data. The newest record is kept even if it is larger.
	MaxBufferedBytes = 4 << 20
	// MaxFetchRecords is the maximum number of records in one response to a peer.
	MaxFetchRecords = 256
)

// buffer holds the newest records of a stream, at consecutive offsets, for peers to read.
type buffer struct {
	records []trial.Record
	bytes   int
}

// add appends a record. It ignores a record that is not newer than the last one, and discards the
// earlier records if there is a gap before r.
func (b *buffer) add(r trial.Record) {
	if n := len(b.records); n > 0 {
		last := b.records[n-1].Offset
		if r.Offset <= last {
			return
		}
		if r.Offset != last+1 {
			b.records, b.bytes = nil, 0
		}
	}
	b.records = append(b.records, r)
	b.bytes += len(r.Data)
	for len(b.records) > MaxBufferedRecords || (b.bytes > MaxBufferedBytes && len(b.records) > 1) {
		b.bytes -= len(b.records[0].Data)
		b.records = b.records[1:]
	}
}

// readFrom returns up to limit records from offset on; ok is false if the record at offset may have
// existed but is no longer in the buffer.
func (b *buffer) readFrom(offset trial.Offset, limit int) (records []trial.Record, ok bool) {
	if len(b.records) == 0 || offset < b.records[0].Offset {
		return nil, false
	}
	i := int(offset - b.records[0].Offset)
	if i >= len(b.records) {
		return nil, true
	}
	return b.records[i:min(len(b.records), i+limit)], true
}
