package lease

import (
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/trial"
)

// FuzzRecord checks that arbitrary record data neither stops a reader nor makes two readers differ.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"format":1,"type":"lease","key":"p","holder":"n/1","ttl_ms":1000}`))
	f.Add([]byte(`{"format":1,"type":"snapshot","through":1,"leases":[{"key":"p","holder":"n/1","ttl_ms":1,"offset":1,"token":1}]}`))
	f.Add([]byte(`{"format":1,"type":"reset"}`))
	f.Add([]byte(`{"format":2}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Unix(1, 0)
		a, b := NewTable(), NewTable()
		for at := range trial.Offset(3) {
			rec := trial.Record{Offset: at + 1, ID: "r", Data: data}
			a.Apply(now, rec)
			b.Apply(now, rec)
		}
		if a.Next() != 4 || len(a.Leases()) != len(b.Leases()) {
			t.Fatalf("readers are at offsets %d and %d; want 4, with equal leases", a.Next(), b.Next())
		}
		lateReader := NewTable()
		lateReader.SetFirstRetained(2)
		for next := lateReader.Next(); next < 4; next = lateReader.Next() {
			lateReader.Apply(now, trial.Record{Offset: next, ID: "r", Data: data})
		}
	})
}
