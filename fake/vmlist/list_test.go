package vmlist

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/matryer/is"
)

func TestChangesAreVisibleAfterLag(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := New(Options{LagMs: 1000, VMs: []trial.VM{{Name: "a"}}, Now: func() time.Time { return now }})
	hs := httptest.NewServer(l.Handler())
	defer hs.Close()
	c := trial.NewVMListClient(hs.URL, nil)
	get := func() []trial.VM {
		list, err := c.VMs(context.Background())
		is.NoErr(err)
		return list.VMs
	}
	l.Put(trial.VM{Name: "b"})
	is.True(l.SetLeaving("a", true))
	is.True(!l.SetLeaving("c", true))
	is.Equal(len(get()), 1)
	is.True(!get()[0].Leaving)
	now = now.Add(time.Second)
	is.Equal(len(get()), 2)
	is.True(get()[0].Leaving)
	l.Remove("a")
	now = now.Add(time.Second)
	is.Equal(get()[0].Name, "b")
}
