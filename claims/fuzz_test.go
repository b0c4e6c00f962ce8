package claims

import (
	"testing"

	"github.com/ibistrail/ibistrail/trial"
)

// FuzzRecord checks that arbitrary record data neither stops a reader nor fills its table beyond the limit.
func FuzzRecord(f *testing.F) {
	p := claimOf(1, "c1")
	f.Add([]byte(encode(Record{Type: TypeClaims, ClockMs: 1, Claims: []Claim{{Key: p.Key, Fingerprint: p.Fingerprint, ClaimID: "c1", GateID: "g", GateIncarnation: "i"}}})))
	f.Add([]byte(encode(Record{Type: TypeSnapshot, ClockMs: 1, Snapshot: "s", Parts: 1, Through: 1})))
	f.Add([]byte(`{"format":1,"type":"snapshot","parts":-1}`))
	f.Add([]byte(`{"format":1,"type":"snapshot","snapshot":"s","parts":1000000000,"through":1}`))
	f.Add([]byte(`{"format":1,"type":"reset"}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		table := newTable(ClaimTTL, 4)
		for at := range trial.Offset(3) {
			table.Apply(trial.Record{Offset: at + 1, ID: "r", Data: data})
		}
		if table.Next() != 4 || table.Len() > 4 {
			t.Fatalf("next=%d held=%d; want next=4 and at most 4 claims held", table.Next(), table.Len())
		}
		lateReader := newTable(ClaimTTL, 4)
		lateReader.SetFirstRetained(2)
		for next, n := lateReader.Next(), 0; next < 4 && n < 20; next, n = lateReader.Next(), n+1 {
			lateReader.Apply(trial.Record{Offset: next, ID: "r", Data: data})
		}
	})
}
