package capacity

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// sampleResults returns results whose fitted lines have known slopes.
func sampleResults() *results {
	r := &results{
		Plan:    plan{Nodes: []int{10, 50, 100}, Targets: []int{100, 200}, Rates: []float64{0, 2}, FixedNodes: 20},
		ByNodes: map[int]sample{}, ByTargets: map[int]sample{}, ByRate: map[string]sample{}, BaseMB: 10,
		ChangeS: []float64{1, 2, 3}, DetectS: []float64{4, 11}, ReadyUpS: []float64{0.1}, ReadyDownS: []float64{0.2}, RolloutS: 2,
	}
	for _, n := range r.Plan.Nodes {
		r.ByNodes[n] = sample{BytesMean: 1000 + float64(n), RelayBytes: 9000, CPUPercent: 0.5, HeapMB: 1}
	}
	for _, n := range r.Plan.Targets {
		r.ByTargets[n] = sample{Appends: 0.1 * float64(n)}
	}
	r.ByRate["0"], r.ByRate["2"] = sample{BytesMean: 100}, sample{BytesMean: 300}
	return r
}

func findRow(t *testing.T, rows []Row, role, quantity string) Row {
	t.Helper()
	for _, r := range rows {
		if r.Role == role && strings.HasPrefix(r.Quantity, quantity) {
			return r
		}
	}
	t.Fatalf("no row with role %q and a quantity that begins with %q", role, quantity)
	return Row{}
}

func TestRowsExtrapolateFromSlopes(t *testing.T) {
	is := is.New(t)
	rows := sampleResults().rows()
	nodes := findRow(t, rows, "steward", "control bytes by nodes")
	is.True(math.Abs(*nodes.Slope-1) < 1e-9)
	is.True(math.Abs(nodes.AtSize-1380) < 1e-6)
	is.True(nodes.Extrapolated)
	is.Equal(nodes.Verdict, VerdictOK)
	all := findRow(t, rows, "steward", "control bytes, all")
	is.True(math.Abs(all.AtSize-1380-100*designChangesPerSecond) < 1e-6)
	is.Equal(findRow(t, rows, "zone's reader of the log", "control bytes, all").Verdict, VerdictExceeds)
	is.Equal(findRow(t, rows, "steward", "dead node known").Verdict, VerdictExceeds)
	is.Equal(findRow(t, rows, "steward", "change on all").Verdict, VerdictOK)
}

func TestRowWithoutMeasurementHasVerdictNone(t *testing.T) {
	is := is.New(t)
	r := sampleResults()
	r.ChangeS = nil
	row := findRow(t, r.rows(), "steward", "change on all")
	is.Equal(row.Verdict, VerdictNone)
}

func TestFallingLineIsNotExtrapolated(t *testing.T) {
	is := is.New(t)
	l := fitLine([]float64{10, 100}, []float64{200, 110})
	is.True(math.Abs(l.valueAt(380)-110) < 1e-6)
	is.True(math.Abs(l.valueAt(50)-160) < 1e-6)
}

func TestQuantile(t *testing.T) {
	is := is.New(t)
	is.Equal(quantile([]float64{3, 1, 2}, 0.5), 2.0)
	is.Equal(quantile([]float64{3, 1, 2}, 0.99), 3.0)
	is.Equal(quantile([]float64{3, 1, 2}, 1), 3.0)
}

func TestTableHasOneLinePerRow(t *testing.T) {
	is := is.New(t)
	rows := sampleResults().rows()
	var b bytes.Buffer
	printTable(&b, rows)
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	is.Equal(len(lines), len(rows)+1)
	is.Equal(strings.Fields(lines[0]), []string{"role", "quantity", "slope", "unit", "at_size", "budget", "verdict"})
}
