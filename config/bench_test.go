package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/ibistrail/ibistrail/trial"
)

// fullSizeTables returns tables of the design size: 2,300 targets in 20 pools, and 60 routes.
func fullSizeTables() Tables {
	var t Tables
	for p := range 20 {
		pool := Pool{Name: fmt.Sprintf("pool-%02d", p), Kind: PoolEngines, Model: fmt.Sprintf("model-%02d", p),
			Weights: &Weights{Follow: true, ServingFloorPercent: 50, StalenessWeight: 0.5}}
		for i := range 115 {
			n := 115*p + i
			pool.Targets = append(pool.Targets, Target{Name: fmt.Sprintf("sampler-%04d", n),
				Address: fmt.Sprintf("10.%d.%d.%d:8000", p, i/250, 1+i%250), AvailabilityZone: fmt.Sprintf("zone-%02d", n%14)})
		}
		t.Pools = append(t.Pools, pool)
		for k, kind := range []RouteKind{RouteCompletions, RouteSteps, RouteSteps} {
			r := Route{Name: fmt.Sprintf("route-%02d-%d", p, k), Kind: kind, Customer: "magnolia", Pool: pool.Name, Model: pool.Model, TimeoutMs: 840_000}
			for c := range 10 {
				r.Callers = append(r.Callers, Caller{Name: fmt.Sprintf("caller-%d", 100*p+10*k+c), TokenSHA256: token(100*p + 10*k + c)})
			}
			t.Routes = append(t.Routes, r)
		}
	}
	return t
}

// BenchmarkApplyFullSizeTables applies changes of one pool of 115 targets to tables of the design size.
func BenchmarkApplyFullSizeTables(b *testing.B) {
	m := NewMachine()
	first := Diff(m.Snapshot(), fullSizeTables(), "bench")
	first.ID = "first"
	rec, err := EncodeChange(first)
	if err != nil {
		b.Fatal(err)
	}
	if d := m.Apply(trial.Record{Offset: 1, ID: rec.ID, Data: rec.Data}); d == nil || !d.Accepted {
		b.Fatal(d)
	}
	b.ReportAllocs()
	size := 0
	for i := 0; b.Loop(); i++ {
		pool := *m.Tables().Pool("pool-07")
		pool.ConcurrencyPerTarget = 1 + i%100
		c := Diff(m.Snapshot(), Overlay(*m.Tables(), Tables{Pools: []Pool{pool}}), "bench")
		c.ID = fmt.Sprint("change", i)
		rec, err := EncodeChange(c)
		if err != nil {
			b.Fatal(err)
		}
		size = len(rec.Data)
		if d := m.Apply(trial.Record{Offset: m.Next(), ID: rec.ID, Data: rec.Data}); d == nil || !d.Accepted {
			b.Fatal(d)
		}
	}
	snap, err := json.Marshal(m.Snapshot())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(size), "record_bytes")
	b.ReportMetric(float64(len(snap)), "snapshot_bytes")
}
