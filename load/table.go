package load

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
)

// Verdict tells whether ours reached a target.
type Verdict string

// The verdicts.
const (
	VerdictMet    Verdict = "met"
	VerdictMissed Verdict = "MISSED"
	// VerdictNone is a metric without a target.
	VerdictNone Verdict = "-"
)

// Spread is the median of a metric over seeds with its smallest and largest value.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
	Known  bool    `json:"known"`
}

// String returns the median and the spread.
func (s Spread) String() string {
	if !s.Known {
		return "-"
	}
	return fmt.Sprintf("%s [%s..%s]", number(s.Median), number(s.Min), number(s.Max))
}

func number(v float64) string {
	switch a := math.Abs(v); {
	case a >= 1000:
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.3f", v)
	}
}

// Row is one line of the table.
type Row struct {
	Experiment   string  `json:"experiment"`
	Metric       string  `json:"metric"`
	BaselineName string  `json:"baseline_name"`
	Baseline     Spread  `json:"baseline"`
	Ours         Spread  `json:"ours"`
	Ratio        float64 `json:"ratio"` // of the medians; NaN is kept as 0 with Known false in Baseline
	Target       string  `json:"target"`
	Verdict      Verdict `json:"verdict"`
}

// spread summarizes a metric of a variant.
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

// moreIsBetter tells the good direction of a metric by its name.
func moreIsBetter(metric string) bool {
	return strings.HasSuffix(metric, "_on_time_share") || strings.HasSuffix(metric, "_per_s") || strings.HasPrefix(metric, "goodput") || metric == "steps"
}

// best returns the best baseline of a metric.
func (r *Result) best(metric string) (string, Spread) {
	name, best := "", Spread{}
	vs := r.Experiment.Variants
	for _, v := range vs[:len(vs)-1] {
		s := r.spread(v.Name, metric)
		if s.Known && (!best.Known || (s.Median > best.Median) == moreIsBetter(metric)) {
			name, best = v.Name, s
		}
	}
	return name, best
}

// Rows returns the lines of an experiment: its targets first, then what it shows.
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
	row.BaselineName, row.Baseline = r.best(t.Metric)
	if row.Baseline.Known && row.Baseline.Median != 0 {
		row.Ratio = row.Ours.Median / row.Baseline.Median
	}
	judge := func(ok bool, format string, bound float64) {
		row.Target = fmt.Sprintf(format, bound)
		row.Verdict = VerdictMissed
		if ok && row.Ours.Known {
			row.Verdict = VerdictMet
		}
	}
	switch {
	case t.MaxRatio != nil:
		judge(row.Baseline.Known && row.Ours.Median <= *t.MaxRatio*row.Baseline.Median, "ratio<=%g", *t.MaxRatio)
	case t.MaxExtra != nil:
		judge(row.Baseline.Known && row.Ours.Median-row.Baseline.Median <= *t.MaxExtra, "added<=%g", *t.MaxExtra)
	case t.Max != nil:
		judge(row.Ours.Median <= *t.Max, "<=%g", *t.Max)
	case t.Min != nil:
		judge(row.Ours.Median >= *t.Min, ">=%g", *t.Min)
	}
	return row
}

// WriteTable prints rows under a heading.
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

// Broken returns the problems that the checker found in the runs of an experiment.
func (r *Result) Broken() []string {
	var out []string
	for _, run := range r.Runs {
		if run.Tally == nil {
			continue
		}
		t := run.Tally
		if n := t.Doubled + t.Stale + t.Misversioned + t.Cut + t.Wrong; n > 0 {
			out = append(out, fmt.Sprintf("%s %s seed %d: %d broken promises, first: %s", r.Experiment.Name, run.Variant, run.Seed, n, firstOf(t.Problems)))
		}
	}
	return out
}

// firstOf returns the first problem that is not a slot of the step that the end of a run left open.
func firstOf(problems []string) string {
	for _, p := range problems {
		if !strings.Contains(p, "was not delivered") {
			return p
		}
	}
	return ""
}
