package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter
)

// barMetrics are the metrics drawn as bar charts if all variants of an experiment have them.
var barMetrics = []string{
	"idle_ms_per_sample", "staleness_versions", "step_s", "step_max_s", "goodput_tokens_per_s", "wasted_token_share",
	"prefill_tokens", "class0_p99_ms", "class1_p99_ms", "class2_p99_ms", "class1_refused_share", "recovery_s", "engines_lost", "p99_ms",
}

// Write writes the result to dir as NAME.json and, with plots, as NAME.html. It creates dir if needed.
func (r *Result) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("load: %w; choose a writable directory", err)
	}
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("load: encode result: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, r.Experiment.Name+".json"), raw, 0o644); err != nil {
		return err
	}
	page, err := r.page()
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, r.Experiment.Name+".html"), page, 0o644)
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}td,th{border:1px solid #999;padding:.2em .6em;text-align:left}.MISSED{color:#b00}</style>
</head><body><h1>{{.Name}}</h1><p>{{.About}}</p>
<table><tr><th>metric</th><th>baseline</th><th>ours</th><th>ratio</th><th>target</th><th>verdict</th></tr>
{{range .Rows}}<tr><td>{{.Metric}}</td><td>{{.Baseline}} {{.BaselineName}}</td><td>{{.Ours}}</td><td>{{printf "%.2f" .Ratio}}</td><td>{{.Target}}</td><td class="{{.Verdict}}">{{.Verdict}}</td></tr>
{{end}}</table>
{{range .Plots}}<figure>{{.}}</figure>
{{end}}
<h2>All metrics, median [smallest..largest] over {{len .Seeds}} seeds</h2>
<table><tr><th>metric</th>{{range .Variants}}<th>{{.}}</th>{{end}}</tr>
{{range .All}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table></body></html>
`))

// page returns the HTML report.
func (r *Result) page() ([]byte, error) {
	x := r.Experiment
	var plots []template.HTML
	for _, draw := range r.plots() {
		svg, err := render(draw)
		if err != nil {
			return nil, err
		}
		plots = append(plots, svg)
	}
	var variants []string
	for _, v := range x.Variants {
		variants = append(variants, v.Name)
	}
	var b bytes.Buffer
	err := pageTemplate.Execute(&b, map[string]any{
		"Name": x.Name, "About": x.About, "Rows": r.Rows(), "Plots": plots, "Seeds": x.Seeds, "Variants": variants, "All": r.allMetrics(variants),
	})
	return b.Bytes(), err
}

// allMetrics returns one table row per metric: its name and its spread for each variant.
func (r *Result) allMetrics(variants []string) [][]string {
	var out [][]string
	for _, m := range r.metricNames() {
		line := []string{m}
		for _, v := range variants {
			line = append(line, r.spread(v, m).String())
		}
		out = append(out, line)
	}
	return out
}

func render(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", fmt.Errorf("load: render plot as SVG: %w", err)
	}
	// The SVG contains only numbers and names from the experiment file, which the plot library escapes.
	svg := b.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	return template.HTML(svg), nil
}

func (r *Result) plots() []*plot.Plot {
	var out []*plot.Plot
	for _, m := range barMetrics {
		if p := r.bars(m); p != nil {
			out = append(out, p)
		}
	}
	for _, l := range []struct {
		title string
		value func(Bin) float64
	}{
		{"calls answered on time, per second", func(b Bin) float64 { return float64(b.OnTime) / binWidth.Seconds() }},
		{"calls of the first class answered on time, share", func(b Bin) float64 {
			if b.HighestPriorityCalls == 0 {
				return 1
			}
			return float64(b.HighestPriorityOnTime) / float64(b.HighestPriorityCalls)
		}},
		{"samples delivered, per second", func(b Bin) float64 { return float64(b.Samples) / binWidth.Seconds() }},
	} {
		if p := r.timeLine(l.title, l.value); p != nil {
			out = append(out, p)
		}
	}
	return out
}

// bars returns a bar chart of a metric's median for each variant, with the runs as points; nil if a variant lacks
// the metric.
func (r *Result) bars(metric string) *plot.Plot {
	var medians plotter.Values
	var names []string
	var points plotter.XYs
	for i, v := range r.Experiment.Variants {
		s := r.spread(v.Name, metric)
		if !s.Known {
			return nil
		}
		medians, names = append(medians, s.Median), append(names, v.Name)
		for _, run := range r.Runs {
			if run.Variant == v.Name {
				points = append(points, plotter.XY{X: float64(i), Y: run.Metrics[metric]})
			}
		}
	}
	p := plot.New()
	p.Title.Text = metric
	p.Y.Min = 0
	bars, err := plotter.NewBarChart(medians, barWidth)
	if err != nil {
		return nil
	}
	bars.Color = plotutil.Color(2)
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil
	}
	p.Add(bars, scatter)
	p.NominalX(names...)
	return p
}

// timeLine returns a plot of the first seed's runs over time, with the faults as vertical lines; nil if all values
// are 0.
func (r *Result) timeLine(title string, value func(Bin) float64) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Min = title, "seconds; lines mark faults and their ends", 0
	top := 0.0
	for i, v := range r.Experiment.Variants {
		for _, run := range r.Runs {
			if run.Variant != v.Name || run.Seed != r.Experiment.Seeds[0] {
				continue
			}
			pts := make(plotter.XYs, 0, len(run.Bins))
			for _, b := range run.Bins {
				pts = append(pts, plotter.XY{X: b.Seconds, Y: value(b)})
				top = max(top, value(b))
			}
			line, err := plotter.NewLine(pts)
			if err != nil {
				return nil
			}
			line.Color = plotutil.Color(i)
			p.Add(line)
			p.Legend.Add(v.Name, line)
		}
	}
	if top == 0 {
		return nil
	}
	r.markFaults(p, top)
	return p
}

func (r *Result) markFaults(p *plot.Plot, top float64) {
	for _, f := range r.Experiment.Faults {
		for _, ms := range []int64{f.AtMs, f.AtMs + f.ForMs} {
			x := float64(ms) / 1000
			line, err := plotter.NewLine(plotter.XYs{{X: x}, {X: x, Y: top}})
			if err != nil {
				continue
			}
			line.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
			p.Add(line)
		}
	}
}
