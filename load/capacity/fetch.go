package capacity

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/ibistrail/ibistrail/logtail"
	"github.com/spf13/cobra"
)

// Sizes of the comparison of peers to fetch from.
const (
	fetchNodes   = 40
	fetchChanges = 30
)

// fetchCase is a way in which nodes lose the platform.
type fetchCase struct {
	name string
	cut  func(n *node, i int) bool
}

// fetchResult is what one strategy reached in one case with one seed.
type fetchResult struct {
	Case     string    `json:"case"`
	Strategy string    `json:"strategy"`
	Seed     uint64    `json:"seed"`
	Seconds  []float64 `json:"change_on_all_nodes_seconds"`
	P50      float64   `json:"p50_seconds"`
	P99      float64   `json:"p99_seconds"`
	Failures []string  `json:"failures,omitempty"`
}

// newFetchCommand returns `ibisload capacity fetch`.
func newFetchCommand() *cobra.Command {
	var path string
	var seeds int
	c := &cobra.Command{
		Use:   "fetch",
		Short: "Compare the peers that nodes fetch changes from when the platform is out of reach",
		Long: `Cuts two of four zones from the platform, or half of the nodes of each zone, and times changes until
all nodes have them, for peers of other zones first, of the same zone first, and random ones.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := compareFetch(cmd.OutOrStdout(), seeds)
			if err != nil {
				return err
			}
			return save(path, list)
		},
	}
	c.Flags().StringVar(&path, "out", "", "file to write the data to, as JSON")
	c.Flags().IntVar(&seeds, "seeds", 3, "number of seeds, from 1 on")
	return c
}

func compareFetch(out io.Writer, seeds int) ([]fetchResult, error) {
	cases := []fetchCase{
		{"two zones cut", func(n *node, _ int) bool { return n.set.AvailabilityZone <= zoneName(1) }},
		{"half of each zone cut", func(_ *node, i int) bool { return (i/zones)%2 == 0 }},
	}
	var all []fetchResult
	for seed := range seeds {
		for _, c := range cases {
			for _, s := range []logtail.Strategy{logtail.OtherZoneFirst, logtail.SameZoneFirst, logtail.RandomPeer} {
				res, err := runFetch(out, c, s, uint64(seed+1))
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

func runFetch(out io.Writer, fc fetchCase, s logtail.Strategy, seed uint64) (*fetchResult, error) {
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
	if err := c.joined(joinLimit); err != nil {
		return nil, err
	}
	if err := r.addPools(c, e, 0); err != nil {
		return nil, err
	}
	for i, n := range c.running() {
		if fc.cut(n, i) {
			n.dialer.SetUnreachable(c.platformAddresses())
		}
	}
	time.Sleep(logtail.MaxAge)
	list, err := r.timeChanges(c, e, fetchChanges)
	if err != nil {
		return nil, err
	}
	return &fetchResult{Case: fc.name, Strategy: string(s), Seed: seed, Seconds: list, P50: quantile(list, 0.5), P99: quantile(list, 0.99), Failures: r.res.Failures}, nil
}
