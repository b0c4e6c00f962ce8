package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
)

var start = time.Unix(1_800_000_000, 0)

func instance(id string) *Instance {
	return &Instance{Target: config.Target{Name: id, Address: id + ":80"}, Pool: "p", Slots: 4}
}

func TestOlderTablesVersionsAndRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	is.True(d.SetTables(&Tables{Version: 5}))
	is.True(!d.SetTables(&Tables{Version: 4}))
	is.True(!d.SetTables(&Tables{Version: 5}))
	is.Equal(d.Tables().Version, int64(5))
	is.True(d.SetNamedVersion("m", 3))
	is.True(!d.SetNamedVersion("m", 2))
	is.True(d.Register(7, "i", instance("i")))
	is.True(d.Remove(start, 8, "i"))
	is.True(!d.Register(6, "i", instance("i"))) // an older record
	is.Equal(len(d.Instances()), 0)
	is.True(!d.Remove(start, 7, "i"))
}

func TestRegisterReportsOnlyChangedState(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	is.True(d.Register(1, "i", instance("i")))
	is.True(!d.Register(2, "i", instance("i")))
	draining := instance("i")
	draining.Draining = true
	is.True(d.Register(3, "i", draining))
}

func TestRemovalsAfterAnOutageWaitForTheGracePeriod(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Register(1, "back", instance("back"))
	d.Register(2, "gone", instance("gone"))
	d.StoreRecovered(start)
	d.Remove(start, 3, "back")
	d.Remove(start, 4, "gone")
	is.Equal(len(d.Instances()), 2)
	d.Register(5, "back", instance("back"))
	is.Equal(d.Expire(start.Add(outageGrace-1)), 0)
	is.Equal(d.Expire(start.Add(outageGrace)), 1)
	is.Equal(d.Instances()[0].Name, "back")
	d.Remove(start.Add(outageGrace), 6, "back") // removals after the grace period take effect immediately
	is.Equal(len(d.Instances()), 0)
}

func TestRemoveUnlistedKeepsListedTargets(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Register(1, "a", instance("a"))
	d.Register(2, "b", instance("b"))
	d.RemoveUnlisted(start, 9, map[string]bool{"b": true})
	is.Equal(len(d.Instances()), 1)
	is.True(d.Listed())
}
