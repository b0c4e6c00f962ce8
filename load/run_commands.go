package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/process"
	"github.com/spf13/cobra"
)

// tableFile is the name of the file with the rows of the last table, in the directory of the results.
const tableFile = "table.json"

// metricNames returns the names of all metrics of all runs, sorted.
func (r *Result) metricNames() []string {
	seen := map[string]bool{}
	var names []string
	for _, run := range r.Runs {
		for m := range run.Metrics {
			if !seen[m] {
				seen[m] = true
				names = append(names, m)
			}
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}

// runFlags are the flags of `ibisload run` and `ibisload bench`.
type runFlags struct {
	outDir, format string
	seeds          []int64
	verbose        bool
}

func (f *runFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.outDir, "out", "run/bench", "directory for results and reports")
	c.Flags().StringVar(&f.format, "output", "table", "table or json")
	c.Flags().Int64SliceVar(&f.seeds, "seeds", nil, "seeds to use instead of those of the experiment")
	c.Flags().BoolVar(&f.verbose, "verbose", false, "log warnings of gates and stewards")
}

func runCommand() *cobra.Command {
	f := &runFlags{}
	c := &cobra.Command{
		Use:     "run EXPERIMENT.json...",
		Short:   "Run experiments and write reports",
		Long:    "Run each variant of an experiment with each seed, one after the other, and write the results as JSON and as an HTML page with plots.",
		Example: "  ibisload run experiments/magnolia-stragglers.json --seeds 1,2,3",
		Args:    cobra.MinimumNArgs(1),
		RunE:    func(cmd *cobra.Command, args []string) error { return f.run(cmd, args) },
	}
	f.register(c)
	return c
}

func benchCommand() *cobra.Command {
	f := &runFlags{}
	var dir string
	c := &cobra.Command{
		Use:     "bench",
		Short:   "Run all experiments in a directory and print one table",
		Example: "  ibisload bench --dir experiments",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
			if err != nil || len(paths) == 0 {
				return fmt.Errorf("no experiments (*.json) in %s; set their directory with --dir", dir)
			}
			return f.run(cmd, paths)
		},
	}
	c.Flags().StringVar(&dir, "dir", "experiments", "directory with the experiment files")
	f.register(c)
	return c
}

func tableCommand() *cobra.Command {
	f := &runFlags{}
	c := &cobra.Command{
		Use:     "table",
		Short:   "Print the table of existing results",
		Example: "  ibisload table --out run/bench",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			paths, err := filepath.Glob(filepath.Join(f.outDir, "*.json"))
			if err != nil {
				return err
			}
			var rows []Row
			for _, path := range paths {
				var res Result
				if filepath.Base(path) == tableFile {
					continue
				}
				if err := readJSON(path, &res); err != nil {
					return err
				}
				rows = append(rows, res.Rows()...)
			}
			return f.printTable(cmd, rows)
		},
	}
	c.Flags().StringVar(&f.outDir, "out", "run/bench", "directory with the results")
	c.Flags().StringVar(&f.format, "output", "table", "table or json")
	return c
}

func (f *runFlags) run(cmd *cobra.Command, paths []string) error {
	log := slog.New(slog.DiscardHandler)
	if f.verbose {
		log = process.NewLogger(cmd.ErrOrStderr(), slog.LevelWarn, "ibisload", "run")
	}
	var rows []Row
	var problems []string
	for _, path := range paths {
		x, err := LoadExperiment(path)
		if err != nil {
			return err
		}
		if len(f.seeds) > 0 {
			x.Seeds = f.seeds
		}
		start := time.Now()
		res, err := RunExperiment(cmd.Context(), x, log)
		if cmd.Context().Err() != nil {
			return err
		}
		if err != nil {
			problems = append(problems, err.Error())
		}
		fmt.Fprintf(cmd.ErrOrStderr(), "%s: %d runs in %.0f s\n", x.Name, len(res.Runs), time.Since(start).Seconds())
		if err := res.Write(f.outDir); err != nil {
			return err
		}
		rows = append(rows, res.Rows()...)
		problems = append(problems, res.Violations()...)
	}
	for _, b := range problems {
		fmt.Fprintln(cmd.ErrOrStderr(), "problem:", b)
	}
	if err := f.printTable(cmd, rows); err != nil {
		return err
	}
	if len(problems) > 0 {
		return fmt.Errorf("%d problems: runs failed or violated a guarantee; see the messages above", len(problems))
	}
	return nil
}

func (f *runFlags) printTable(cmd *cobra.Command, rows []Row) error {
	raw, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.outDir, tableFile), raw, 0o644); err != nil {
		return err
	}
	if f.format == "json" {
		_, err := fmt.Fprintln(cmd.OutOrStdout(), string(raw))
		return err
	}
	return WriteTable(cmd.OutOrStdout(), rows)
}
