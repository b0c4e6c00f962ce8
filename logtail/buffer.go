package logtail

import "github.com/ibistrail/ibistrail/trial"

// Bounds of the records kept for peers.
const (
	// MaxBufferedRecords bounds the records that a tail keeps for its peers.
	MaxBufferedRecords = 2048
	// MaxBufferedBytes bounds their data.
	MaxBufferedBytes = 4 << 20
	// MaxFetchRecords bounds the records of one answer to a peer.
	MaxFetchRecords = 256
)

// buffer keeps the newest records of a stream without a gap, for peers to read.
type buffer struct {
	records []trial.Record
	bytes   int
}

// add appends a record; a gap before it discards what was kept, an old record is ignored.
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

// from returns records at and after offset; ok is false if the buffer does not reach back so far.
func (b *buffer) from(offset trial.Offset, limit int) (records []trial.Record, ok bool) {
	if len(b.records) == 0 || offset < b.records[0].Offset {
		return nil, false
	}
	i := int(offset - b.records[0].Offset)
	if i >= len(b.records) {
		return nil, true
	}
	return b.records[i:min(len(b.records), i+limit)], true
}
