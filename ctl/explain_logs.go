package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/logs"
)

// explainLogs prints the explanation of an ID, the changes near a time, or the steps, from log files.
func (a *app) explainLogs(files, args []string, around string, steps bool) error {
	questions := len(args)
	if around != "" {
		questions++
	}
	if steps {
		questions++
	}
	if questions != 1 {
		return usageErrorf("specify one of an ID, --around TIME and --steps", "--logs needs exactly one question")
	}
	var lines []*logs.Line
	skipped := 0
	for _, f := range files {
		l, n, err := readLogs(f)
		if err != nil {
			return &Error{Exit: ExitUsage, Message: "cannot read the logs in " + f, Err: err, Remedy: "specify readable files with --logs"}
		}
		lines, skipped = append(lines, l...), skipped+n
	}
	if len(lines) == 0 {
		return usageErrorf("pass the standard output of ibisentry, one event per line", "%s: no line has key=value pairs with time and msg", strings.Join(files, ", "))
	}
	for vm, offset := range logs.Align(lines) {
		fmt.Fprintf(a.errOut, "corrected the times of %s for a clock offset of %s\n", vm, offset.Round(time.Millisecond))
	}
	if skipped > 0 {
		fmt.Fprintf(a.errOut, "skipped %d lines that are not events\n", skipped)
	}
	if around != "" {
		return a.printEventsNear(lines, around)
	}
	if steps {
		return a.printSteps(logs.ExplainSteps(lines))
	}
	e, err := logs.Explain(lines, args[0])
	var unknown *logs.UnknownIDError
	if errors.As(err, &unknown) {
		return &Error{Exit: ExitFailure, Message: unknown.Error()}
	}
	if err != nil {
		return err
	}
	return a.printLogExplanation(e)
}

// readLogs returns the events in file, and the number of lines that are not events. The file's base name
// stands for the VM where a line does not name it.
func readLogs(file string) ([]*logs.Line, int, error) {
	in := io.Reader(os.Stdin)
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, 0, err
		}
		defer f.Close()
		in = f
	}
	return logs.Read(in, strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)))
}

func (a *app) printEventsNear(lines []*logs.Line, around string) error {
	center, err := time.Parse(time.RFC3339Nano, around)
	if err != nil {
		return usageErrorf("use RFC 3339, such as 2026-12-04T07:06:50Z", "--around: invalid time %q: %v", around, err)
	}
	near := logs.EventsNear(lines, center)
	if len(near) == 0 {
		fmt.Fprintln(a.out, "nothing changed near that time in these lines")
		return nil
	}
	a.printLines(near)
	return nil
}

// printSteps prints a row for each step, with the parts that any step has, and their sum.
func (a *app) printSteps(steps []*logs.Step) error {
	if len(steps) == 0 {
		return &Error{Exit: ExitFailure, Message: "no line tells of a submitted step", Remedy: "pass the logs of all VMs: the one that accepted a step and its holder"}
	}
	if a.format == formatJSON {
		return a.printJSON(steps)
	}
	total := &logs.Step{Parts: map[logs.Part]int64{}}
	for _, s := range steps {
		total.TotalMs += s.TotalMs
		for part, n := range s.Parts {
			total.Parts[part] += n
		}
	}
	parts := slices.DeleteFunc(slices.Clone(logs.AllParts), func(p logs.Part) bool { return total.Parts[p] == 0 })
	header := []string{"BEGAN", "MODEL", "STEP", "BATCH", "TOTAL_MS"}
	for _, p := range parts {
		header = append(header, string(p))
	}
	row := func(s *logs.Step, columns ...string) []string {
		columns = append(columns, strconv.FormatInt(s.TotalMs, 10))
		for _, p := range parts {
			columns = append(columns, strconv.FormatInt(s.Parts[p], 10))
		}
		return columns
	}
	var rows [][]string
	for _, s := range steps {
		rows = append(rows, row(s, s.Began.UTC().Format("15:04:05.000"), orDash(s.Model), strconv.FormatInt(s.Step, 10), s.Batch))
	}
	a.printTable(header, append(rows, row(total, "sum", "-", "-", "-")))
	return nil
}

func (a *app) printLogExplanation(e *logs.Explanation) error {
	if a.format == formatJSON {
		return a.printJSON(e)
	}
	fmt.Fprintf(a.out, "%s %s: %s\ncause: %s\n", e.Kind, e.ID, e.Outcome, e.Cause)
	if e.Advice != "" {
		fmt.Fprintf(a.out, "to do: %s\n", e.Advice)
	}
	a.printLines(e.Lines)
	return nil
}

func (a *app) printLines(lines []*logs.Line) {
	var rows [][]string
	for _, l := range lines {
		var fields []string
		for _, f := range l.Fields {
			if f.Value != "" && f.Value != "<nil>" {
				fields = append(fields, f.Key+"="+f.Value)
			}
		}
		rows = append(rows, []string{l.Time.UTC().Format("15:04:05.000"), l.VM, l.Event, strings.Join(fields, " ")})
	}
	a.printTable([]string{"TIME", "VM", "EVENT", "DETAIL"}, rows)
}
