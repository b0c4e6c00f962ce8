package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/logs"
)

// explainLogs explains an ID, or a time, from log files.
func (a *app) explainLogs(files, args []string, around string) error {
	if (len(args) == 0) == (around == "") {
		return usageErrorf("give either an ID or --around TIME", "logs are explained by an ID or near a time")
	}
	var lines []*logs.Line
	unread := 0
	for _, f := range files {
		l, n, err := readLogs(f)
		if err != nil {
			return &Error{Exit: ExitUsage, Message: "logs of " + f, Err: err, Remedy: "name readable files with --logs"}
		}
		lines, unread = append(lines, l...), unread+n
	}
	if len(lines) == 0 {
		return usageErrorf("pass the standard output of ibisentry, one line an event", "%s: no line of key=value pairs with time and msg", strings.Join(files, ", "))
	}
	for vm, off := range logs.Align(lines) {
		fmt.Fprintf(a.err, "the clock of %s is %s off and was corrected\n", vm, off.Round(time.Millisecond))
	}
	if unread > 0 {
		fmt.Fprintf(a.err, "%d lines were no events and were left out\n", unread)
	}
	if around != "" {
		return a.printAround(lines, around)
	}
	s, err := logs.Explain(lines, args[0])
	var unknown *logs.UnknownIDError
	if errors.As(err, &unknown) {
		return &Error{Exit: ExitFailure, Message: unknown.Error()}
	}
	if err != nil {
		return err
	}
	return a.printStory(s)
}

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

func (a *app) printAround(lines []*logs.Line, around string) error {
	at, err := time.Parse(time.RFC3339Nano, around)
	if err != nil {
		return usageErrorf("write it like 2026-12-04T07:06:50Z", "time %q: %v", around, err)
	}
	near := logs.Around(lines, at)
	if len(near) == 0 {
		fmt.Fprintln(a.out, "nothing changed near that time in these lines")
		return nil
	}
	a.printLines(near)
	return nil
}

func (a *app) printStory(s *logs.Story) error {
	if a.output == outputJSON {
		return a.printJSON(s)
	}
	fmt.Fprintf(a.out, "%s %s: %s\ncause: %s\n", s.Kind, s.ID, s.Outcome, s.Cause)
	if s.Advice != "" {
		fmt.Fprintf(a.out, "to do: %s\n", s.Advice)
	}
	a.printLines(s.Lines)
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
	a.table([]string{"TIME", "VM", "EVENT", "DETAIL"}, rows)
}
