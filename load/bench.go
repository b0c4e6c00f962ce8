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

// tableFile holds the rows of the last table, beside the results.
const tableFile = "table.json"

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
	out, output string
	seeds       []int64
	verbose     bool
}

func (f *runFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.out, "out", "run/bench", "directory for results and reports")
	c.Flags().StringVar(&f.output, "output", "table", "table or json")
	c.Flags().Int64SliceVar(&f.seeds, "seeds", nil, "seeds in place of the experiment's")
	c.Flags().BoolVar(&f.verbose, "verbose", false, "log the warnings of gates and stewards")
}

func runCommand() *cobra.Command {
	f := &runFlags{}
	c := &cobra.Command{
		Use:     "run EXPERIMENT.json...",
		Short:   "Run experiments and report on them",
		Long:    "Run each variant of an experiment under each seed, one after the other, and write results and a page with plots.",
		Example: "  ibisload run experiments/magnolia-stragglers.json --seeds 1,2,3",
		Args:    cobra.MinimumNArgs(1),
		RunE:    func(cmd *cobra.Command, args []string) error { return f.run(cmd, args) },
	}
	f.add(c)
	return c
}

func benchCommand() *cobra.Command {
	f := &runFlags{}
	var dir string
	c := &cobra.Command{
		Use:     "bench",
		Short:   "Run all experiments of a directory and print one table",
		Example: "  ibisload bench --dir experiments",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
			if err != nil || len(paths) == 0 {
				return fmt.Errorf("no experiments in %s; name their directory with --dir", dir)
			}
			return f.run(cmd, paths)
		},
	}
	c.Flags().StringVar(&dir, "dir", "experiments", "directory of the experiments")
	f.add(c)
	return c
}

func tableCommand() *cobra.Command {
	f := &runFlags{}
	c := &cobra.Command{
		Use:     "table",
		Short:   "Print the table of results that are there already",
		Example: "  ibisload table --out run/bench",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			paths, err := filepath.Glob(filepath.Join(f.out, "*.json"))
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
			return f.print(cmd, rows)
		},
	}
	c.Flags().StringVar(&f.out, "out", "run/bench", "directory of the results")
	c.Flags().StringVar(&f.output, "output", "table", "table or json")
	return c
}

func (f *runFlags) run(cmd *cobra.Command, paths []string) error {
	log := slog.New(slog.DiscardHandler)
	if f.verbose {
		log = process.NewLogger(cmd.ErrOrStderr(), slog.LevelWarn, "ibisload", "run")
	}
	var rows []Row
	var broken []string
	for _, path := range paths {
		x, err := LoadExperiment(path)
		if err != nil {
			return err
		}
		if len(f.seeds) > 0 {
			x.Seeds = f.seeds
		}
		began := time.Now()
		res, err := RunExperiment(cmd.Context(), x, log)
		if cmd.Context().Err() != nil {
			return err
		}
		if err != nil {
			broken = append(broken, err.Error())
		}
		fmt.Fprintf(cmd.ErrOrStderr(), "%s: %d runs in %.0f s\n", x.Name, len(res.Runs), time.Since(began).Seconds())
		if err := res.Write(f.out); err != nil {
			return err
		}
		rows = append(rows, res.Rows()...)
		broken = append(broken, res.Broken()...)
	}
	for _, b := range broken {
		fmt.Fprintln(cmd.ErrOrStderr(), "problem:", b)
	}
	if err := f.print(cmd, rows); err != nil {
		return err
	}
	if len(broken) > 0 {
		return fmt.Errorf("%d runs failed or broke a promise; see the problems above", len(broken))
	}
	return nil
}

func (f *runFlags) print(cmd *cobra.Command, rows []Row) error {
	raw, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.out, tableFile), raw, 0o644); err != nil {
		return err
	}
	if f.output == "json" {
		_, err := fmt.Fprintln(cmd.OutOrStdout(), string(raw))
		return err
	}
	return WriteTable(cmd.OutOrStdout(), rows)
}
