package capacity

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"text/tabwriter"

	"github.com/ibistrail/ibistrail/claims"
	"github.com/ibistrail/ibistrail/logtail"
	"gonum.org/v1/gonum/stat"
)

// The size to design for and its budgets.
const (
	nodesAtSize   = 380
	zonesAtSize   = 14
	targetsAtSize = 2300
	poolsAtSize   = (targetsAtSize + enginesPerPool - 1) / enginesPerPool
	changesAtSize = 8000.0 / 86400

	budgetBytes   = 6000.0 // a second, a node
	budgetCPU     = 1.1    // percent of a core, a node
	budgetMB      = 64.0   // a node
	budgetAppends = 300.0  // a second, the log
	budgetFlat    = 1.3
	budgetChangeS = 5.0
	budgetDetectS = 10.0
	budgetOrdersS = 6.0
)

// Verdict tells whether a row keeps its budget.
type Verdict string

// The verdicts.
const (
	VerdictOK      Verdict = "ok"
	VerdictExceeds Verdict = "EXCEEDS"
	VerdictInfo    Verdict = "info"
	// VerdictNone means that there is no measurement; AtSize is -1.
	VerdictNone Verdict = "NOT MEASURED"
)

// Row is one line of the table. Slope is nil where a quantity is not a line.
type Row struct {
	Role     string    `json:"role"`
	Quantity string    `json:"quantity"`
	Slope    *float64  `json:"slope,omitempty"`
	Unit     string    `json:"unit"`
	AtSize   float64   `json:"at_size"`
	Budget   float64   `json:"budget,omitempty"`
	Verdict  Verdict   `json:"verdict"`
	X        []float64 `json:"x,omitempty"`
	Y        []float64 `json:"y,omitempty"`
	// R2 is the fit's coefficient of determination.
	R2 float64 `json:"r2,omitempty"`
	// WorkedOut is true where AtSize was not measured but follows from measured slopes.
	WorkedOut bool `json:"worked_out"`
}

// line is a fitted line through points.
type line struct {
	x, y []float64
	a, b float64
	r2   float64
}

func fit(x, y []float64) line {
	a, b := stat.LinearRegression(x, y, nil, false)
	l := line{x: x, y: y, a: a, b: b, r2: 1}
	if stat.Variance(y, nil) > 0 {
		l.r2 = stat.RSquared(x, y, nil, a, b)
	}
	return l
}

// at returns the line's value, never below 0. A falling line is not carried on beyond its points.
func (l line) at(x float64) float64 {
	if l.b < 0 {
		x = min(x, slices.Max(l.x))
	}
	return max(0, l.a+l.b*x)
}

// byNodes fits a quantity over the number of nodes, mapped by f.
func (r *results) byNodes(f func(n int) float64, value func(s sample) float64) line {
	var x, y []float64
	for _, n := range r.Plan.Nodes {
		x, y = append(x, f(n)), append(y, value(r.ByNodes[n]))
	}
	return fit(x, y)
}

// byFullNodes is byNodes for quantities of a zone's reader: only from the size on at which it
// serves as many nodes as it ever does.
func (r *results) byFullNodes(value func(s sample) float64) line {
	var x, y []float64
	for _, n := range r.Plan.Nodes {
		if n/zones > logtail.RelayFanout || len(r.Plan.Nodes) < 3 {
			x, y = append(x, nodesOf(n)), append(y, value(r.ByNodes[n]))
		}
	}
	return fit(x, y)
}

func (r *results) byTargets(value func(s sample) float64) line {
	var x, y []float64
	for _, n := range r.Plan.Targets {
		x, y = append(x, float64(n)), append(y, value(r.ByTargets[n]))
	}
	return fit(x, y)
}

func (r *results) byRate(value func(s sample) float64) line {
	var x, y []float64
	for _, rate := range r.Plan.Rates {
		x, y = append(x, rate), append(y, value(r.ByRate[fmt.Sprintf("%g", rate)]))
	}
	return fit(x, y)
}

func verdict(value, budget float64) Verdict {
	switch {
	case value == notMeasured:
		return VerdictNone
	case budget == 0:
		return VerdictInfo
	case value <= budget:
		return VerdictOK
	}
	return VerdictExceeds
}

func lineRow(role, quantity, unit string, l line, at, budget float64) Row {
	b := l.b
	return Row{Role: role, Quantity: quantity, Slope: &b, Unit: unit, AtSize: at, Budget: budget, Verdict: verdict(at, budget), X: l.x, Y: l.y, R2: l.r2, WorkedOut: true}
}

func plainRow(role, quantity, unit string, at, budget float64, workedOut bool) Row {
	return Row{Role: role, Quantity: quantity, Unit: unit, AtSize: at, Budget: budget, Verdict: verdict(at, budget), WorkedOut: workedOut}
}

// rows works the table out.
func (r *results) rows() []Row {
	var out []Row
	out = append(out, r.byteRows()...)
	out = append(out, r.costRows()...)
	out = append(out, r.platformRows()...)
	return append(out, r.timeRows()...)
}

func nodesOf(n int) float64 { return float64(n) }

func (r *results) byteRows() []Row {
	mean := func(s sample) float64 { return s.BytesMean }
	relay := func(s sample) float64 { return s.RelayBytes }
	nodes, targets, rate := r.byNodes(nodesOf, mean), r.byTargets(mean), r.byRate(mean)
	relays, relayRate := r.byFullNodes(relay), r.byRate(relay)
	// The targets of the size are in the line over the nodes, which have as many each.
	sum := nodes.at(nodesAtSize) + rate.b*changesAtSize
	relaySum := relays.at(nodesAtSize) + relayRate.b*changesAtSize
	flat := r.ByNodes[slices.Max(r.Plan.Nodes)].BytesMean / r.ByNodes[slices.Min(r.Plan.Nodes)].BytesMean
	ordered := targets.b * float64(r.Plan.SmallSize) * targetsPerNode
	return []Row{
		lineRow("steward", "control bytes by nodes, 6 targets each", "B/s a node", nodes, nodes.at(nodesAtSize), budgetBytes),
		lineRow("steward", "control bytes for the targets that a node orders", "B/s a target of 20 nodes", targets, ordered, budgetBytes),
		lineRow("steward", "control bytes by changes", "B/s a change/s", rate, rate.b*changesAtSize, budgetBytes),
		plainRow("steward", "control bytes, all", "B/s", sum, budgetBytes, true),
		lineRow("zone's reader of the log", "control bytes by nodes from 25 on, 6 targets each", "B/s a node", relays, relays.at(nodesAtSize), budgetBytes),
		lineRow("zone's reader of the log", "control bytes by changes", "B/s a change/s", relayRate, relayRate.b*changesAtSize, budgetBytes),
		plainRow("zone's reader of the log", "control bytes, all", "B/s", relaySum, budgetBytes, true),
		plainRow("steward", fmt.Sprintf("control bytes, %d to %d nodes", slices.Min(r.Plan.Nodes), slices.Max(r.Plan.Nodes)), "times", flat, budgetFlat, false),
	}
}

func (r *results) costRows() []Row {
	cpu := func(s sample) float64 { return s.CPUPercent }
	mem := func(s sample) float64 { return s.HeapMB }
	cn, ct, cr := r.byNodes(nodesOf, cpu), r.byTargets(cpu), r.byRate(cpu)
	mn, mt := r.byNodes(nodesOf, mem), r.byTargets(mem)
	cpuSum := cn.at(nodesAtSize) + cr.b*changesAtSize
	memSum := r.BaseMB + mn.at(nodesAtSize)
	table := r.ClaimBytes * claims.MaxKeys / (1 << 20)
	return []Row{
		lineRow("steward", "processor time by nodes, 6 targets each", "% of a core a node", cn, cn.at(nodesAtSize), budgetCPU),
		lineRow("steward", "processor time for the targets that a node orders", "% of a core a target of 20 nodes", ct, ct.b*float64(r.Plan.SmallSize)*targetsPerNode, budgetCPU),
		lineRow("steward", "processor time by changes", "% of a core a change/s", cr, cr.b*changesAtSize, budgetCPU),
		plainRow("steward", "processor time, all", "% of a core", cpuSum, budgetCPU, true),
		lineRow("steward", "memory by nodes, 6 targets each", "MB a node", mn, mn.at(nodesAtSize), budgetMB),
		lineRow("steward", "memory by targets", "MB a target", mt, mt.at(targetsAtSize), budgetMB),
		plainRow("steward", "memory, all, with the empty process", "MB", memSum, budgetMB, true),
		plainRow("reader of claims", "memory of a full table of claims", "MB", table, 0, true),
		plainRow("reader of claims", "memory, all, with a full table of claims", "MB", memSum+table, budgetMB, true),
	}
}

func (r *results) platformRows() []Row {
	appends := r.byNodes(nodesOf, func(s sample) float64 { return s.Appends })
	reads := r.byNodes(nodesOf, func(s sample) float64 { return s.Reads })
	largest := slices.Max(r.Plan.Nodes) // its zones are as large as those of the size
	readsAtSize := r.ByNodes[largest].Reads / zones * zonesAtSize
	return []Row{
		lineRow("log", "appends by nodes, 6 targets each", "appends/s a node", appends, appends.at(nodesAtSize), budgetAppends),
		plainRow("log", "appends, each lease by itself", "appends/s", worstAppends(), budgetAppends, true),
		lineRow("log", "reads by nodes", "reads/s a node", reads, readsAtSize, 0),
	}
}

// worstAppends is the rate of renewals if no two leases were renewed together.
func worstAppends() float64 { return poolsAtSize / (leaseTTLSeconds / renewShare) }

func (r *results) timeRows() []Row {
	size := slices.Max(r.Plan.Nodes)
	return []Row{
		plainRow("steward", fmt.Sprintf("change on all of %d nodes, two zones cut, p99", size-r.Plan.Deaths), "s", quantile(r.ChangeS, 0.99), budgetChangeS, false),
		plainRow("steward", fmt.Sprintf("dead node known on all of %d nodes, worst", size), "s", quantile(r.DetectS, 1), budgetDetectS, false),
		{Role: "steward", Quantity: "live nodes declared dead under 2 s freezes", Unit: "nodes", AtSize: float64(r.FalseDead), Verdict: verdict(float64(r.FalseDead), 0.5)},
		plainRow("steward", "start to ready, platform up, worst", "s", quantile(r.ReadyUpS, 1), 0, false),
		plainRow("steward", "start to ready, platform down, worst", "s", quantile(r.ReadyDownS, 1), 0, false),
		plainRow("steward", fmt.Sprintf("new weights on %d engines, 0.5 s a swap", r.Ordered), "s", r.OrdersS, budgetOrdersS, false),
	}
}

// notMeasured stands for a value that there is not.
const notMeasured = -1

// quantile returns the q-quantile of list, the largest for q = 1, notMeasured for none.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return notMeasured
	}
	s := slices.Sorted(slices.Values(list))
	return s[min(len(s)-1, int(math.Ceil(q*float64(len(s))))-1)]
}

// print writes the table.
func print(w io.Writer, rows []Row) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "role\tquantity\tslope\tunit\tat_size\tbudget\tverdict")
	for _, r := range rows {
		slope, budget := "-", "-"
		if r.Slope != nil {
			slope = strconv.FormatFloat(*r.Slope, 'g', 3, 64)
		}
		if r.Budget > 0 {
			budget = strconv.FormatFloat(r.Budget, 'g', -1, 64)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Role, r.Quantity, slope, r.Unit, strconv.FormatFloat(r.AtSize, 'f', 3, 64), budget, r.Verdict)
	}
	t.Flush()
}
