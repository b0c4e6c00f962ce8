package ctl

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/platform"
	"github.com/ibistrail/ibistrail/schema"
	"github.com/ibistrail/ibistrail/settings"
	"github.com/spf13/cobra"
)

// kindPlatform is the kind of an entry VM's settings file, whose format the platform defines.
const kindPlatform settings.Kind = "platform"

// fileReport holds the problems of one file.
type fileReport struct {
	File     string           `json:"file"`
	Kind     settings.Kind    `json:"kind"`
	Problems []config.Problem `json:"problems"`
}

func (a *app) checkCommand() *cobra.Command {
	var kind string
	var partial bool
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check tables and settings files without sending them",
		Long: `Check tables and settings files against their schema and rules. Each problem is printed with
its location (a JSON pointer), what is wrong and what to do.`,
		Example: `  ibisctl check tables.json gate.json steward.json
  ibisctl check --partial one-route.json
  ibisctl check boot.toml`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			return a.check(files, settings.Kind(kind), partial)
		},
	}
	cmd.Flags().StringVar(&kind, "kind", "", "kind of the files: tables, gate, steward or platform (default: detected from the fields; .toml is platform)")
	cmd.Flags().BoolVar(&partial, "partial", false, "the tables have only some of the rows: check each row alone, as apply does before it merges them")
	return cmd
}

func (a *app) check(files []string, kind settings.Kind, partial bool) error {
	var reports []fileReport
	invalid := 0
	for _, f := range files {
		r, err := checkFile(f, kind, partial)
		if err != nil {
			return err
		}
		if len(r.Problems) > 0 {
			invalid++
		}
		reports = append(reports, *r)
	}
	if a.format == formatJSON {
		if err := a.printJSON(reports); err != nil {
			return err
		}
	} else {
		a.printReports(reports)
	}
	if invalid > 0 {
		return &Error{Exit: ExitUsage, Message: fmt.Sprintf("%d of %d files are invalid", invalid, len(files)), Remedy: "correct the problems that are listed for them"}
	}
	return nil
}

func (a *app) printReports(reports []fileReport) {
	for _, r := range reports {
		for _, p := range r.Problems {
			fmt.Fprintf(a.out, "%s: %s\n", r.File, p)
		}
		if len(r.Problems) == 0 {
			fmt.Fprintf(a.out, "%s: ok (%s)\n", r.File, r.Kind)
		}
	}
}

func checkFile(file string, kind settings.Kind, partial bool) (*fileReport, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Exit: ExitUsage, Message: "check", Err: err, Remedy: "specify a readable file"}
	}
	if kind == "" && filepath.Ext(file) == ".toml" {
		kind = kindPlatform
	}
	if kind == kindPlatform {
		return checkPlatform(file), nil
	}
	if kind == "" {
		kind = settings.DetectKind(data)
	}
	r := &fileReport{File: file, Kind: kind, Problems: []config.Problem{}}
	problems, err := findProblems(data, kind, partial)
	r.Problems = append(r.Problems, problems...)
	return r, err
}

// checkPlatform checks an entry VM's settings file.
func checkPlatform(file string) *fileReport {
	r := &fileReport{File: file, Kind: kindPlatform, Problems: []config.Problem{}}
	if _, err := platform.LoadSettings(file); err != nil {
		r.Problems = append(r.Problems, config.Problem{Message: err.Error(), Remedy: "the platform writes this file; ask its operators for the field"})
	}
	return r
}

// findProblems returns the problems of a document of the given kind.
func findProblems(data []byte, kind settings.Kind, partial bool) ([]config.Problem, error) {
	switch {
	case kind == settings.KindTables && partial:
		_, p := config.ParseRows(data)
		return p, nil
	case kind == settings.KindTables:
		_, p := config.ParseTables(data)
		return p, nil
	case kind == settings.KindGate:
		_, p := settings.ParseGate(data)
		return p, nil
	case kind == settings.KindSteward:
		_, p := settings.ParseSteward(data)
		return p, nil
	case kind == settings.KindUnknown:
		if p := schema.CheckSyntax(data); p != nil {
			return []config.Problem{*p}, nil
		}
		return []config.Problem{settings.UnknownKind}, nil
	}
	return nil, &Error{Exit: ExitUsage, Message: fmt.Sprintf("kind %q is unknown", kind), Remedy: "use --kind tables, gate, steward or platform", Err: errors.ErrUnsupported}
}
