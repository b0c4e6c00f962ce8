package capacity

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/ibistrail/ibistrail/logtail"
	"github.com/spf13/cobra"
)

// Sizes of the comparison of fetch strategies.
const (
	fetchNodes   = 40
	fetchChanges = 30
)

// fetchCase selects the nodes that lose the platform.
type fetchCase struct {
	name  string
	isCut func(n *node, i int) bool
}

// fetchResult holds the measurements of one strategy in one case with one seed.
type fetchResult struct {
	Case     string    `json:"case"`
	Strategy string    `json:"strategy"`
	Seed     uint64    `json:"seed"`
	Seconds  []float64 `json:"change_on_all_nodes_seconds"`
	P50      float64   `json:"p50_seconds"`
	P99      float64   `json:"p99_seconds"`
	Failures []string  `json:"failures,omitempty"`
}

// newFetchCommand returns the command `ibisload capacity fetch`.
func newFetchCommand() *cobra.Command {
	var path string
	var seeds int
	c := &cobra.Command{
		Use:   "fetch",
		Short: "Compare strategies to choose the peer that a node without the platform fetches changes from",
		Long: `Cuts two of four zones, or half of the nodes of each zone, off from the platform and measures how
long changes take to reach all nodes. Compares three strategies: peers of other zones first, peers
of the same zone first, and random peers.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := compareFetchStrategies(cmd.OutOrStdout(), seeds)
			if err != nil {
				return err
			}
			return writeResults(path, list)
		},
	}
	c.Flags().StringVar(&path, "out", "", "file to write the results to, as JSON")
	c.Flags().IntVar(&seeds, "seeds", 3, "number of seeds; the seeds are 1 to this number")
	return c
}

// compareFetchStrategies measures each strategy in each case with seeds 1 to seeds.
func compareFetchStrategies(out io.Writer, seeds int) ([]fetchResult, error) {
	cases := []fetchCase{
		{"two zones cut", func(n *node, _ int) bool { return n.settings.AvailabilityZone <= zoneName(1) }},
		{"half of each zone cut", func(_ *node, i int) bool { return (i/zoneCount)%2 == 0 }},
	}
	var all []fetchResult
	for seed := range seeds {
		for _, c := range cases {
			for _, s := range []logtail.Strategy{logtail.OtherZoneFirst, logtail.SameZoneFirst, logtail.RandomPeer} {
				res, err := runFetchCase(out, c, s, uint64(seed+1))
				if err != nil {
					return nil, err
				}
				fmt.Fprintf(out, "case=%q strategy=%s seed=%d p50=%.3fs p99=%.3fs failures=%d\n", c.name, s, seed+1, res.P50, res.P99, len(res.Failures))
				all = append(all, *res)
			}
		}
	}
	return all, nil
}

func runFetchCase(out io.Writer, fc fetchCase, s logtail.Strategy, seed uint64) (*fetchResult, error) {
	r := &runner{out: io.Discard, plan: plan{Seed: seed}, rng: rand.New(rand.NewPCG(seed, 2)), res: &results{}}
	c, e := newCluster(s), newEngines()
	defer e.close()
	defer c.close()
	if err := e.grow(fixedTargets); err != nil {
		return nil, err
	}
	if err := c.grow(fetchNodes); err != nil {
		return nil, err
	}
	if err := c.awaitJoined(joinLimit); err != nil {
		return nil, err
	}
	if err := r.addPools(c, e, 0); err != nil {
		return nil, err
	}
	for i, n := range c.running() {
		if fc.isCut(n, i) {
			n.dialer.SetUnreachable(c.platformAddresses())
		}
	}
	time.Sleep(logtail.MaxSourceLag)
	list, err := r.timeChanges(c, e, fetchChanges)
	if err != nil {
		return nil, err
	}
	return &fetchResult{Case: fc.name, Strategy: string(s), Seed: seed, Seconds: list, P50: quantile(list, 0.5), P99: quantile(list, 0.99), Failures: r.res.Failures}, nil
}
