package steward

import (
	"testing"

	"github.com/ibistrail/ibistrail/fake/engine"
	"github.com/ibistrail/ibistrail/fake/logservice"
	"github.com/matryer/is"
)

func TestChangeReachesEachNodeAndEnginesGetNewWeights(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, logservice.Options{})
	a, b := c.start("a1", "a"), c.start("b1", "b")
	c.eventually("both ready", func() bool { return a.ready() == nil && b.ready() == nil })
	engines, targets := c.engines(3, "a", engine.Options{Model: "m", Version: 1})
	res, err := c.apply(a, poolChange("c1", targets))
	is.NoErr(err)
	is.True(res.Decision.Accepted)
	c.eventually("tables at both", func() bool {
		return c.hasPool(a, "drafting") && c.hasPool(b, "drafting")
	})
	c.store.Publish("m", 2)
	c.eventually("version 2 on each engine", func() bool {
		for _, e := range engines {
			if e.Status().Version != 2 {
				return false
			}
		}
		return true
	})
	c.eventually("version known at both", func() bool { return c.state(a).Versions["m"] == 2 && c.state(b).Versions["m"] == 2 })
}
