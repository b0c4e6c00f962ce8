package steward

import (
	"fmt"
	"testing"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/matryer/is"
)

// generateFleet returns nodes and engine pools that are spread evenly over zones.
func generateFleet(zones, nodes, pools int) ([]wire.Node, *config.Tables) {
	az := func(i int) string { return fmt.Sprintf("z%02d", i%zones) }
	var live []wire.Node
	for i := range nodes {
		live = append(live, wire.Node{ID: fmt.Sprintf("n%03d", i), AvailabilityZone: az(i)})
	}
	tb := &config.Tables{}
	for i := range pools {
		tb.Pools = append(tb.Pools, config.Pool{Name: fmt.Sprintf("pool-%d", i), Kind: config.PoolEngines, Targets: []config.Target{{AvailabilityZone: az(i)}}})
	}
	return live, tb
}

func TestEachPoolHasItsCandidatesAndNoNodeHasMany(t *testing.T) {
	is := is.New(t)
	live, tb := generateFleet(14, 380, 256)
	ranks := map[string]map[int]string{}
	mostFirstRanked := 0
	for _, n := range live {
		firstRanked := 0
		contended := contendedBy(tb, live, n.ID)
		is.True(len(contended) <= 2) // lease streams that the node follows
		for _, pools := range contended {
			for pool, rank := range pools {
				if ranks[pool] == nil {
					ranks[pool] = map[int]string{}
				}
				is.Equal(ranks[pool][rank], "") // one node per rank
				ranks[pool][rank] = n.ID
				if rank == 0 {
					firstRanked++
				}
			}
		}
		mostFirstRanked = max(mostFirstRanked, firstRanked)
	}
	is.Equal(len(ranks), 256)
	for _, r := range ranks {
		is.Equal(len(r), candidatesPerShard)
	}
	t.Logf("most pools of one node: %d", mostFirstRanked)
	is.True(mostFirstRanked <= 5)
}

func TestZoneWithoutNodesIsServedByOthers(t *testing.T) {
	is := is.New(t)
	live, tb := generateFleet(2, 6, 4)
	var others []wire.Node
	for _, n := range live {
		if n.AvailabilityZone == "z01" {
			others = append(others, n)
		}
	}
	contended := map[string]bool{}
	for _, n := range others {
		for _, pools := range contendedBy(tb, others, n.ID) {
			for pool := range pools {
				contended[pool] = true
			}
		}
	}
	is.Equal(len(contended), 4)
}
