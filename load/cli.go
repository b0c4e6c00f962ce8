package load

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/ibistrail/ibistrail/process"
	"github.com/spf13/cobra"
)

// NewCommand returns the root command of ibisload.
func NewCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "ibisload",
		Short:         "Generate load on ibistrail deployments, check the results and run experiments",
		Version:       process.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(demoCommand(), runCommand(), benchCommand(), tableCommand())
	return root
}

// demoFlags are the flags of `ibisload demo`.
type demoFlags struct {
	endpoints, tables, resultPath string
	earlierResults                []string
	seconds                       float64
	seed, version                 int64
	verbose                       bool
}

func demoCommand() *cobra.Command {
	f := demoFlags{}
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run trainers and callers against a running deployment and check the responses",
		Long: "Run each trainer and caller of a deployment for a limited time, check each response, and print one line\n" +
			"with the counts. The exit status is 1 if a guarantee was violated.",
		Example: "  ibisload demo --endpoints run/endpoints.json --seconds 10\n" +
			"  ibisload demo --endpoints run/songhan/endpoints.json --add run/magnolia/result.json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	c.Flags().StringVar(&f.endpoints, "endpoints", "run/endpoints.json", "endpoints file written by ibisfake plan")
	c.Flags().StringVar(&f.tables, "tables", "", "tables file of the deployment (default: tables.json in the directory of the endpoints file)")
	c.Flags().StringVar(&f.resultPath, "result", "", "write the counts to this file, as JSON")
	c.Flags().StringArrayVar(&f.earlierResults, "add", nil, "result file of an earlier run whose counts are added (repeatable)")
	c.Flags().Float64Var(&f.seconds, "seconds", 10, "duration of the load, in seconds")
	c.Flags().Int64Var(&f.seed, "seed", 1, "seed of arrival times and prompts")
	c.Flags().Int64Var(&f.version, "weights", 1, "weight version of the engines at the start")
	c.Flags().BoolVar(&f.verbose, "verbose", false, "log at level info, including retries and resubmissions")
	return c
}

func (f *demoFlags) run(cmd *cobra.Command) error {
	if f.tables == "" {
		f.tables = filepath.Join(filepath.Dir(f.endpoints), "tables.json")
	}
	site, err := OpenSite(f.endpoints, f.tables)
	if err != nil {
		return err
	}
	level := slog.LevelError
	if f.verbose {
		level = slog.LevelInfo
	}
	tally, err := Demo(cmd.Context(), DemoOptions{
		Site: site, Duration: time.Duration(f.seconds * float64(time.Second)), Seed: f.seed, InitialVersion: f.version,
		Log: process.NewLogger(cmd.ErrOrStderr(), level, "ibisload", "demo"),
	})
	if err != nil {
		return err
	}
	if err := f.writeResult(tally); err != nil {
		return err
	}
	for _, path := range f.earlierResults {
		var earlier Tally
		if err := readJSON(path, &earlier); err != nil {
			return err
		}
		tally.Add(&earlier)
	}
	for _, p := range tally.Problems {
		fmt.Fprintln(cmd.ErrOrStderr(), "problem:", p)
	}
	if tally.Wrong > 0 {
		fmt.Fprintf(cmd.ErrOrStderr(), "wrong=%d\n", tally.Wrong)
	}
	fmt.Fprintf(cmd.ErrOrStderr(), "callers: requests=%d answered=%d\n", tally.Calls, tally.Answered)
	fmt.Fprintln(cmd.OutOrStdout(), tally.Line())
	if !tally.Passed() {
		return fmt.Errorf("a guarantee was violated, or there were no samples or answers; see the messages above")
	}
	return nil
}

func (f *demoFlags) writeResult(t *Tally) error {
	if f.resultPath == "" {
		return nil
	}
	raw, err := json.MarshalIndent(t, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.resultPath, append(raw, '\n'), 0o644)
}

// Main runs ibisload with the arguments of the process until ctx ends and returns the exit status.
func Main(ctx context.Context) int {
	if err := NewCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "ibisload:", err)
		return 1
	}
	return 0
}
