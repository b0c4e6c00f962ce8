package load

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
)

// Verdict is the result of comparing a metric of our variant with its target.
type Verdict string

// Verdicts.
const (
	VerdictMet    Verdict = "met"
	VerdictMissed Verdict = "MISSED"
	// VerdictNone marks a metric without a target.
	VerdictNone Verdict = "-"
)

// Spread is the median, minimum and maximum of a metric over the seeds. Known is false if no run has the metric.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
	Known  bool    `json:"known"`
}

// String returns "median [min..max]", or "-" if the metric is unknown.
func (s Spread) String() string {
	if !s.Known {
		return "-"
	}
	return fmt.Sprintf("%s [%s..%s]", formatNumber(s.Median), formatNumber(s.Min), formatNumber(s.Max))
}

func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case a >= 1000:
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.3f", v)
	}
}

// Row is one row of the table: a metric of our variant, the last one of the experiment, and of the best baseline.
type Row struct {
	Experiment   string  `json:"experiment"`
	Metric       string  `json:"metric"`
	BaselineName string  `json:"baseline_name"`
	Baseline     Spread  `json:"baseline"`
	Ours         Spread  `json:"ours"`
	Ratio        float64 `json:"ratio"` // of the medians; 0 if there is no baseline or its median is 0
	Target       string  `json:"target"`
	Verdict      Verdict `json:"verdict"`
}

// spread returns the spread of a metric over the runs of a variant.
func (r *Result) spread(variant, metric string) Spread {
	var vs []float64
	for _, run := range r.Runs {
		if v, ok := run.Metrics[metric]; ok && run.Variant == variant {
			vs = append(vs, v)
		}
	}
	if len(vs) == 0 {
		return Spread{}
	}
	slices.Sort(vs)
	mid := vs[len(vs)/2]
	if len(vs)%2 == 0 {
		mid = (vs[len(vs)/2-1] + vs[len(vs)/2]) / 2
	}
	return Spread{Median: mid, Min: vs[0], Max: vs[len(vs)-1], Known: true}
}

// higherIsBetter reports whether higher values of a metric are better, by its name.
func higherIsBetter(metric string) bool {
	return strings.HasSuffix(metric, "_on_time_share") || strings.HasSuffix(metric, "_per_s") || strings.HasPrefix(metric, "goodput") || metric == "steps"
}

// bestBaseline returns the name and spread of the variant, other than ours, with the best median of a metric.
func (r *Result) bestBaseline(metric string) (string, Spread) {
	name, best := "", Spread{}
	vs := r.Experiment.Variants
	for _, v := range vs[:len(vs)-1] {
		s := r.spread(v.Name, metric)
		if s.Known && (!best.Known || (s.Median > best.Median) == higherIsBetter(metric)) {
			name, best = v.Name, s
		}
	}
	return name, best
}

// Rows returns the rows of an experiment: first its targets, then the further metrics listed in Show.
func (r *Result) Rows() []Row {
	var rows []Row
	for _, t := range r.Experiment.Targets {
		rows = append(rows, r.row(t))
	}
	for _, m := range r.Experiment.Show {
		rows = append(rows, r.row(Target{Metric: m}))
	}
	return rows
}

func (r *Result) row(t Target) Row {
	vs := r.Experiment.Variants
	row := Row{Experiment: r.Experiment.Name, Metric: t.Metric, Ours: r.spread(vs[len(vs)-1].Name, t.Metric), Verdict: VerdictNone, Target: "-"}
	row.BaselineName, row.Baseline = r.bestBaseline(t.Metric)
	if row.Baseline.Known && row.Baseline.Median != 0 {
		row.Ratio = row.Ours.Median / row.Baseline.Median
	}
	setVerdict := func(ok bool, format string, bound float64) {
		row.Target = fmt.Sprintf(format, bound)
		row.Verdict = VerdictMissed
		if ok && row.Ours.Known {
			row.Verdict = VerdictMet
		}
	}
	switch {
	case t.MaxRatio != nil:
		setVerdict(row.Baseline.Known && row.Ours.Median <= *t.MaxRatio*row.Baseline.Median, "ratio<=%g", *t.MaxRatio)
	case t.MaxExtra != nil:
		setVerdict(row.Baseline.Known && row.Ours.Median-row.Baseline.Median <= *t.MaxExtra, "added<=%g", *t.MaxExtra)
	case t.Max != nil:
		setVerdict(row.Ours.Median <= *t.Max, "<=%g", *t.Max)
	case t.Min != nil:
		setVerdict(row.Ours.Median >= *t.Min, ">=%g", *t.Min)
	}
	return row
}

// WriteTable writes the rows as an aligned text table with a header.
func WriteTable(w io.Writer, rows []Row) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "experiment\tmetric\tbaseline\tours\tratio\ttarget\tverdict")
	for _, r := range rows {
		base := r.Baseline.String()
		if r.BaselineName != "" {
			base += " " + r.BaselineName
		}
		ratio := "-"
		if r.Baseline.Known && r.Baseline.Median != 0 {
			ratio = fmt.Sprintf("%.2f", r.Ratio)
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Experiment, r.Metric, base, r.Ours, ratio, r.Target, r.Verdict)
	}
	return tw.Flush()
}

// Violations returns one line for each run in which the checker found violated guarantees.
func (r *Result) Violations() []string {
	var out []string
	for _, run := range r.Runs {
		if run.Tally == nil {
			continue
		}
		t := run.Tally
		if n := t.Doubled + t.Stale + t.Misversioned + t.Cut + t.Wrong; n > 0 {
			out = append(out, fmt.Sprintf("%s %s seed %d: %d violated guarantees, first: %s", r.Experiment.Name, run.Variant, run.Seed, n, firstViolation(t.Problems)))
		}
	}
	return out
}

// firstViolation returns the first problem other than an undelivered slot: the end of a run may leave a step
// incomplete, which is no violation.
func firstViolation(problems []string) string {
	for _, p := range problems {
		if !strings.Contains(p, "was not delivered") {
			return p
		}
	}
	return ""
}
