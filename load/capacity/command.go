package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/lease"
	"github.com/ibistrail/ibistrail/steward"
	"github.com/spf13/cobra"
)

const (
	leaseTTLSeconds = float64(steward.DefaultLeaseTTL / time.Second)
	renewDivisor    = lease.RenewDivisor
)

// defaultPlan returns a plan whose run takes less than ten minutes.
func defaultPlan() plan {
	return plan{
		Nodes: []int{10, 25, 50, 100}, Targets: []int{180, 1000, 2300}, Rates: []float64{0, 1, 4},
		WindowS: 10, CutChanges: 20, Deaths: 5, Freezes: 5, Starts: 5, Seed: 1, FixedNodes: 20,
	}
}

// quickPlan returns a plan that runs each phase briefly; its results are too short to be meaningful.
func quickPlan() plan {
	return plan{
		Nodes: []int{8, 16}, Targets: []int{90, 180}, Rates: []float64{0, 2},
		WindowS: 3, CutChanges: 3, Deaths: 1, Freezes: 1, Starts: 1, Seed: 1, FixedNodes: 8,
	}
}

// outputFile is the content of the file written by the command.
type outputFile struct {
	*results
	Rows []Row `json:"rows"`
}

// NewCommand returns the command `ibisload capacity`.
func NewCommand() *cobra.Command {
	var path string
	var quick bool
	var seed uint64
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure the cost of the control plane per node and extrapolate it to the design size",
		Long: `Runs up to a hundred real stewards over loopback TCP with a simulated platform. Varies the number
of nodes and targets and the rate of changes; kills, freezes and starts nodes, and cuts zones off
from the platform. Fits a line to each quantity and prints one row per quantity. Rows above their
budget have the verdict EXCEEDS.`,
		Example: "  ibisload capacity --out run/capacity.json\n  ibisload capacity --quick\n  ibisload capacity fetch --out run/fetch.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := defaultPlan()
			if quick {
				p = quickPlan()
			}
			p.Seed = seed
			res, err := run(cmd.OutOrStdout(), p)
			if err != nil {
				return err
			}
			rows := res.rows()
			printTable(cmd.OutOrStdout(), rows)
			return writeResults(path, outputFile{res, rows})
		},
	}
	c.Flags().StringVar(&path, "out", "", "file to write the results to, as JSON")
	c.Flags().BoolVar(&quick, "quick", false, "use few nodes and short windows to check that all phases run; the results are not meaningful")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the random choices")
	c.AddCommand(newFetchCommand())
	return c
}

// run runs all phases of the plan.
func run(out io.Writer, p plan) (*results, error) {
	r := &runner{out: out, plan: p, rng: rand.New(rand.NewPCG(p.Seed, 1)), res: &results{
		Plan: p, Started: time.Now().UTC(), ByNodes: map[int]sample{}, ByTargets: map[int]sample{}, ByRate: map[string]sample{}, BaseMB: rssMB(),
	}}
	r.measureClaimMemory()
	if err := r.measureNodeCounts(); err != nil {
		return nil, err
	}
	if err := r.measureTargetsAndRates(); err != nil {
		return nil, err
	}
	r.res.Seconds = time.Since(r.res.Started).Seconds()
	return r.res, nil
}

// writeResults writes v to path as JSON; an empty path means that nothing is written.
func writeResults(path string, v any) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return fmt.Errorf("capacity: encode results: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("capacity: %w; choose a writable file with --out", err)
	}
	return nil
}

// rssMB returns the resident memory of this process in MB, or 0 if /proc/self/status cannot be read.
func rssMB() float64 {
	data, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(data), "\n") {
		if f := strings.Fields(l); len(f) >= 2 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(f[1], 64) // the kernel always writes a number
			return kb / 1024
		}
	}
	return 0
}
