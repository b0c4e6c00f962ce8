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

// kindPlatform is a settings file of an entry VM, in the platform's format.
const kindPlatform settings.Kind = "platform"

// fileReport is what check found in one file.
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
		Short: "Check tables and settings before anything is sent",
		Long: `Check tables and settings files against their schema and rules. Each problem is printed with
its place (a JSON pointer), what is wrong and what to do.`,
		Example: `  ibisctl check tables.json gate.json steward.json
  ibisctl check --partial one-route.json
  ibisctl check boot.toml`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			return a.check(files, settings.Kind(kind), partial)
		},
	}
	cmd.Flags().StringVar(&kind, "kind", "", "what the files are: tables, gate, steward or platform (default: told from their fields; .toml is platform)")
	cmd.Flags().BoolVar(&partial, "partial", false, "tables hold only some rows: check each row alone, as apply does before it joins them")
	return cmd
}

func (a *app) check(files []string, kind settings.Kind, partial bool) error {
	var reports []fileReport
	bad := 0
	for _, f := range files {
		r, err := checkFile(f, kind, partial)
		if err != nil {
			return err
		}
		if len(r.Problems) > 0 {
			bad++
		}
		reports = append(reports, *r)
	}
	if a.output == outputJSON {
		if err := a.printJSON(reports); err != nil {
			return err
		}
	} else {
		a.printReports(reports)
	}
	if bad > 0 {
		return &Error{Exit: ExitUsage, Message: fmt.Sprintf("%d of %d files break rules", bad, len(files)), Remedy: "mend them as each line says"}
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
		return nil, &Error{Exit: ExitUsage, Message: "check", Err: err, Remedy: "name a readable file"}
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
	problems, err := problemsOf(data, kind, partial)
	r.Problems = append(r.Problems, problems...)
	return r, err
}

// checkPlatform checks a settings file of an entry VM, whose format is the platform's.
func checkPlatform(file string) *fileReport {
	r := &fileReport{File: file, Kind: kindPlatform, Problems: []config.Problem{}}
	if _, err := platform.LoadSettings(file); err != nil {
		r.Problems = append(r.Problems, config.Problem{Message: err.Error(), Remedy: "the platform writes this file; ask its operators for the field"})
	}
	return r
}

func problemsOf(data []byte, kind settings.Kind, partial bool) ([]config.Problem, error) {
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
