package claims

import (
	"testing"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/matryer/is"
)

// A reader that missed records must not decide later claims: an earlier record may have claimed the key.
func TestReaderThatMissedRecordsIgnoresLaterClaims(t *testing.T) {
	is := is.New(t)
	p := claimOf(1, "c2")
	data := encode(Record{Type: TypeClaims, ClockMs: 1, Claims: []Claim{{
		Key: p.Key, Fingerprint: p.Fingerprint, ClaimID: p.ClaimID, GateID: p.GateID, GateIncarnation: p.GateIncarnation,
	}}})
	lateReader := NewTable()
	lateReader.SetFirstRetained(2) // offset 1, which may claim the same key, was truncated
	is.Equal(len(lateReader.Apply(trial.Record{Offset: 2, ID: "r2", Data: data})), 0)
	is.Equal(lateReader.Len(), 0)

	completeReader := NewTable()
	is.Equal(len(completeReader.Apply(trial.Record{Offset: 1, ID: "r1", Data: data})), 1)
	is.Equal(completeReader.Len(), 1)
}
