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

// Design size and its budgets.
const (
	designNodes            = 380
	designZones            = 14
	designTargets          = 2300
	designPools            = (designTargets + enginesPerPool - 1) / enginesPerPool
	designChangesPerSecond = 8000.0 / 86400

	budgetBytesPerSecond   = 6000.0 // per node
	budgetCPUPercent       = 1.1    // of a core, per node
	budgetMB               = 64.0   // per node
	budgetAppendsPerSecond = 300.0  // to the log, of all nodes
	budgetGrowthRatio      = 1.3    // bytes per node of the largest cluster to those of the smallest
	budgetChangeSeconds    = 5.0
	budgetDetectSeconds    = 10.0
	budgetRolloutSeconds   = 6.0
)

// Verdict is the result of comparing a row with its budget.
type Verdict string

// Verdicts.
const (
	VerdictOK      Verdict = "ok"
	VerdictExceeds Verdict = "EXCEEDS"
	VerdictInfo    Verdict = "info"
	// VerdictNone marks a row without a measurement; its AtSize is -1.
	VerdictNone Verdict = "NOT MEASURED"
)

// Row is one row of the table. Slope is nil if the quantity is not a linear fit.
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
	// R2 is the coefficient of determination of the fit.
	R2 float64 `json:"r2,omitempty"`
	// Extrapolated is true if AtSize was not measured but computed from fitted slopes.
	Extrapolated bool `json:"worked_out"`
}

// linearFit is a least-squares line through the points (x, y).
type linearFit struct {
	x, y             []float64
	intercept, slope float64
	r2               float64
}

func fitLine(x, y []float64) linearFit {
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	l := linearFit{x: x, y: y, intercept: intercept, slope: slope, r2: 1}
	if stat.Variance(y, nil) > 0 {
		l.r2 = stat.RSquared(x, y, nil, intercept, slope)
	}
	return l
}

// valueAt returns the value of the line at x, at least 0. A falling line is not extrapolated beyond its largest x.
func (l linearFit) valueAt(x float64) float64 {
	if l.slope < 0 {
		x = min(x, slices.Max(l.x))
	}
	return max(0, l.intercept+l.slope*x)
}

// byNodes fits a quantity against f of the number of nodes.
func (r *results) byNodes(f func(n int) float64, value func(s sample) float64) linearFit {
	var x, y []float64
	for _, n := range r.Plan.Nodes {
		x, y = append(x, f(n)), append(y, value(r.ByNodes[n]))
	}
	return fitLine(x, y)
}

// byNodesAboveFanout fits a quantity of a zone's log reader against the number of nodes. It uses only sizes at which
// the reader serves its maximum of logtail.RelayFanout nodes, unless the plan has fewer than 3 sizes.
func (r *results) byNodesAboveFanout(value func(s sample) float64) linearFit {
	var x, y []float64
	for _, n := range r.Plan.Nodes {
		if n/zoneCount > logtail.RelayFanout || len(r.Plan.Nodes) < 3 {
			x, y = append(x, nodeCount(n)), append(y, value(r.ByNodes[n]))
		}
	}
	return fitLine(x, y)
}

// byTargets fits a quantity against the number of targets.
func (r *results) byTargets(value func(s sample) float64) linearFit {
	var x, y []float64
	for _, n := range r.Plan.Targets {
		x, y = append(x, float64(n)), append(y, value(r.ByTargets[n]))
	}
	return fitLine(x, y)
}

// byRate fits a quantity against the rate of changes, in changes per second.
func (r *results) byRate(value func(s sample) float64) linearFit {
	var x, y []float64
	for _, rate := range r.Plan.Rates {
		x, y = append(x, rate), append(y, value(r.ByRate[fmt.Sprintf("%g", rate)]))
	}
	return fitLine(x, y)
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

func fitRow(role, quantity, unit string, l linearFit, atSize, budget float64) Row {
	slope := l.slope
	return Row{Role: role, Quantity: quantity, Slope: &slope, Unit: unit, AtSize: atSize, Budget: budget, Verdict: verdict(atSize, budget), X: l.x, Y: l.y, R2: l.r2, Extrapolated: true}
}

func valueRow(role, quantity, unit string, atSize, budget float64, extrapolated bool) Row {
	return Row{Role: role, Quantity: quantity, Unit: unit, AtSize: atSize, Budget: budget, Verdict: verdict(atSize, budget), Extrapolated: extrapolated}
}

// rows returns the table.
func (r *results) rows() []Row {
	var out []Row
	out = append(out, r.byteRows()...)
	out = append(out, r.costRows()...)
	out = append(out, r.platformRows()...)
	return append(out, r.timeRows()...)
}

func nodeCount(n int) float64 { return float64(n) }

func (r *results) byteRows() []Row {
	mean := func(s sample) float64 { return s.BytesMean }
	relay := func(s sample) float64 { return s.RelayBytes }
	nodes, targets, rate := r.byNodes(nodeCount, mean), r.byTargets(mean), r.byRate(mean)
	relayNodes, relayRate := r.byNodesAboveFanout(relay), r.byRate(relay)
	// The fit against nodes includes the targets, as their number per node is that of the design size.
	sum := nodes.valueAt(designNodes) + rate.slope*designChangesPerSecond
	relaySum := relayNodes.valueAt(designNodes) + relayRate.slope*designChangesPerSecond
	growth := r.ByNodes[slices.Max(r.Plan.Nodes)].BytesMean / r.ByNodes[slices.Min(r.Plan.Nodes)].BytesMean
	orderedBytes := targets.slope * float64(r.Plan.FixedNodes) * targetsPerNode
	return []Row{
		fitRow("steward", "control bytes by nodes, 6 targets each", "B/s a node", nodes, nodes.valueAt(designNodes), budgetBytesPerSecond),
		fitRow("steward", "control bytes for the targets that a node orders", "B/s a target of 20 nodes", targets, orderedBytes, budgetBytesPerSecond),
		fitRow("steward", "control bytes by changes", "B/s a change/s", rate, rate.slope*designChangesPerSecond, budgetBytesPerSecond),
		valueRow("steward", "control bytes, all", "B/s", sum, budgetBytesPerSecond, true),
		fitRow("zone's reader of the log", "control bytes by nodes from 25 on, 6 targets each", "B/s a node", relayNodes, relayNodes.valueAt(designNodes), budgetBytesPerSecond),
		fitRow("zone's reader of the log", "control bytes by changes", "B/s a change/s", relayRate, relayRate.slope*designChangesPerSecond, budgetBytesPerSecond),
		valueRow("zone's reader of the log", "control bytes, all", "B/s", relaySum, budgetBytesPerSecond, true),
		valueRow("steward", fmt.Sprintf("control bytes, %d to %d nodes", slices.Min(r.Plan.Nodes), slices.Max(r.Plan.Nodes)), "times", growth, budgetGrowthRatio, false),
	}
}

func (r *results) costRows() []Row {
	cpuPercent := func(s sample) float64 { return s.CPUPercent }
	heapMB := func(s sample) float64 { return s.HeapMB }
	cpuByNodes, cpuByTargets, cpuByRate := r.byNodes(nodeCount, cpuPercent), r.byTargets(cpuPercent), r.byRate(cpuPercent)
	heapByNodes, heapByTargets := r.byNodes(nodeCount, heapMB), r.byTargets(heapMB)
	cpuSum := cpuByNodes.valueAt(designNodes) + cpuByRate.slope*designChangesPerSecond
	memSum := r.BaseMB + heapByNodes.valueAt(designNodes)
	claimsTableMB := r.ClaimBytes * claims.MaxKeys / (1 << 20)
	return []Row{
		fitRow("steward", "processor time by nodes, 6 targets each", "% of a core a node", cpuByNodes, cpuByNodes.valueAt(designNodes), budgetCPUPercent),
		fitRow("steward", "processor time for the targets that a node orders", "% of a core a target of 20 nodes", cpuByTargets, cpuByTargets.slope*float64(r.Plan.FixedNodes)*targetsPerNode, budgetCPUPercent),
		fitRow("steward", "processor time by changes", "% of a core a change/s", cpuByRate, cpuByRate.slope*designChangesPerSecond, budgetCPUPercent),
		valueRow("steward", "processor time, all", "% of a core", cpuSum, budgetCPUPercent, true),
		fitRow("steward", "memory by nodes, 6 targets each", "MB a node", heapByNodes, heapByNodes.valueAt(designNodes), budgetMB),
		fitRow("steward", "memory by targets", "MB a target", heapByTargets, heapByTargets.valueAt(designTargets), budgetMB),
		valueRow("steward", "memory, all, with the empty process", "MB", memSum, budgetMB, true),
		valueRow("reader of claims", "memory of a full table of claims", "MB", claimsTableMB, 0, true),
		valueRow("reader of claims", "memory, all, with a full table of claims", "MB", memSum+claimsTableMB, budgetMB, true),
	}
}

func (r *results) platformRows() []Row {
	appends := r.byNodes(nodeCount, func(s sample) float64 { return s.Appends })
	reads := r.byNodes(nodeCount, func(s sample) float64 { return s.Reads })
	largest := slices.Max(r.Plan.Nodes) // its zones are as large as at the design size
	readsAtSize := r.ByNodes[largest].Reads / zoneCount * designZones
	return []Row{
		fitRow("log", "appends by nodes, 6 targets each", "appends/s a node", appends, appends.valueAt(designNodes), budgetAppendsPerSecond),
		valueRow("log", "appends, each lease by itself", "appends/s", maxRenewalRate(), budgetAppendsPerSecond, true),
		fitRow("log", "reads by nodes", "reads/s a node", reads, readsAtSize, 0),
	}
}

// maxRenewalRate returns the lease renewals per second if each record of the log renewed only one lease.
func maxRenewalRate() float64 { return designPools / (leaseTTLSeconds / renewDivisor) }

func (r *results) timeRows() []Row {
	size := slices.Max(r.Plan.Nodes)
	return []Row{
		valueRow("steward", fmt.Sprintf("change on all of %d nodes, two zones cut, p99", size-r.Plan.Deaths), "s", quantile(r.ChangeS, 0.99), budgetChangeSeconds, false),
		valueRow("steward", fmt.Sprintf("dead node known on all of %d nodes, worst", size), "s", quantile(r.DetectS, 1), budgetDetectSeconds, false),
		{Role: "steward", Quantity: "live nodes declared dead under 2 s freezes", Unit: "nodes", AtSize: float64(r.FalseDead), Verdict: verdict(float64(r.FalseDead), 0.5)},
		valueRow("steward", "start to ready, platform up, worst", "s", quantile(r.ReadyUpS, 1), 0, false),
		valueRow("steward", "start to ready, platform down, worst", "s", quantile(r.ReadyDownS, 1), 0, false),
		valueRow("steward", fmt.Sprintf("new weights on %d engines, 0.5 s a swap", r.RolloutEngines), "s", r.RolloutS, budgetRolloutSeconds, false),
	}
}

// notMeasured is the value of a quantity without measurements.
const notMeasured = -1

// quantile returns the q-quantile of list, which is the maximum for q = 1, or notMeasured if list is empty.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return notMeasured
	}
	s := slices.Sorted(slices.Values(list))
	return s[min(len(s)-1, int(math.Ceil(q*float64(len(s))))-1)]
}

// printTable writes the rows as an aligned text table with a header.
func printTable(w io.Writer, rows []Row) {
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
