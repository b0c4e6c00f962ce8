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
	renewShare      = lease.RenewShare
)

// defaultPlan fits into ten minutes.
func defaultPlan() plan {
	return plan{
		Nodes: []int{10, 25, 50, 100}, Targets: []int{180, 1000, 2300}, Rates: []float64{0, 1, 4},
		WindowS: 10, Cut: 20, Deaths: 5, Freezes: 5, Starts: 5, Seed: 1, SmallSize: 20,
	}
}

// quickPlan shows that each phase runs.
func quickPlan() plan {
	return plan{
		Nodes: []int{8, 16}, Targets: []int{90, 180}, Rates: []float64{0, 2},
		WindowS: 3, Cut: 3, Deaths: 1, Freezes: 1, Starts: 1, Seed: 1, SmallSize: 8,
	}
}

// output is what the command writes.
type output struct {
	*results
	Rows []Row `json:"rows"`
}

// NewCommand returns `ibisload capacity`.
func NewCommand() *cobra.Command {
	var path string
	var quick bool
	var seed uint64
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure what control costs a node, and work it out at the size to design for",
		Long: `Runs real stewards over loopback TCP, from few to a hundred, before stand-ins of the platform,
varies nodes, targets and changes, lets nodes die, freeze and start and zones lose the platform,
fits slopes and prints one row a quantity. Rows above the budget are named EXCEEDS.`,
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
			print(cmd.OutOrStdout(), rows)
			return save(path, output{res, rows})
		},
	}
	c.Flags().StringVar(&path, "out", "", "file to write the data to, as JSON")
	c.Flags().BoolVar(&quick, "quick", false, "few nodes and short windows: shows that it runs, measures nothing worth keeping")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the draws")
	c.AddCommand(newFetchCommand())
	return c
}

// run carries all phases out.
func run(out io.Writer, p plan) (*results, error) {
	r := &runner{out: out, plan: p, rng: rand.New(rand.NewPCG(p.Seed, 1)), res: &results{
		Plan: p, Started: time.Now().UTC(), ByNodes: map[int]sample{}, ByTargets: map[int]sample{}, ByRate: map[string]sample{}, BaseMB: rssMB(),
	}}
	r.claims()
	if err := r.nodes(); err != nil {
		return nil, err
	}
	if err := r.targetsAndRates(); err != nil {
		return nil, err
	}
	r.res.Seconds = time.Since(r.res.Started).Seconds()
	return r.res, nil
}

func save(path string, v any) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return fmt.Errorf("capacity: encode results: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("capacity: %w; name a file that can be written with --out", err)
	}
	return nil
}

// rssMB returns the resident memory of this process, in MB, 0 where the system does not tell.
func rssMB() float64 {
	data, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(data), "\n") {
		if f := strings.Fields(l); len(f) >= 2 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(f[1], 64) // the system writes a number
			return kb / 1024
		}
	}
	return 0
}
