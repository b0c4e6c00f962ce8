package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

func (a *app) printJSON(v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return &Error{Exit: ExitFailure, Message: "write output", Err: err}
	}
	return nil
}

// printTable prints rows in aligned columns.
func (a *app) printTable(header []string, rows [][]string) {
	w := tabwriter.NewWriter(a.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush() // fails only if the output was closed by its reader
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
