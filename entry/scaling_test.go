package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/entry"
	"github.com/ibistrail/ibistrail/fake/errata"
)

// newScaledDeployment starts VMs with the duty, if it is on, and gives them work for more than their two engines.
func newScaledDeployment(t *testing.T, vms int, on bool) (*deployment, *errata.Cloud) {
	cloud := errata.NewCloud()
	t.Cleanup(cloud.Close)
	d := newDeployment(t, 2, 1, 0)
	d.duties = entry.DutySettings{Address: cloud.Address(), OrderTargets: on, CallsPerSecond: 50}
	for _, e := range d.engines {
		e.Set(func(e *errata.Target) { e.EventsPerStream, e.EventInterval = 400, 5*time.Millisecond })
	}
	d.version++
	d.store.Put("keyed.op", "config", []byte(fmt.Sprintf(`{"Version":%d,"Routes":[
		{"Name":"r-desk","Host":%[2]q,"PathPrefix":"/desk/","Kind":"idempotent","TimeoutMs":1500,"TargetLatencyMs":150,"Service":"desk","MaxAttempts":2},
		{"Name":"r-notes","Host":%[2]q,"PathPrefix":"/notes/","Kind":"rollout","TargetLatencyMs":500,"RunDeadlineMs":7500,"RetentionS":40,"Service":"drafting","MaxAttempts":3}],
		"Services":[{"Name":"desk"},{"Name":"drafting","Engine":{"Slots":4,"Stride":10,"Models":[{"Name":%[3]q}]},
			"Scaling":{"MinReplicas":1,"MaxReplicas":12,"BootS":0.2,"SpotPrice":0.18,"ZonePrices":{"a":0.85,"b":1.2}}}],
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, d.version, host, model)))
	for i := range vms {
		d.startVM(fmt.Sprintf("vm-%d", i))
	}
	var items []string
	for i := range 40 {
		items = append(items, fmt.Sprint("i", i))
	}
	body := strings.ReplaceAll(submission(1, 0, items...), `"Length-Hint":"40"`, `"Length-Hint":"4000"`)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", body).status, http.StatusAccepted)
	return d, cloud
}

// TestTargetsAreOrderedByOneHolder guards against two VMs that order targets at the same time, and against an old fencing token after a
// new one, when the holder is killed in the middle of its orders.
func TestTargetsAreOrderedByOneHolder(t *testing.T) {
	d, cloud := newScaledDeployment(t, 3, true)
	d.eventually(15*time.Second, "targets are ordered", func() bool { return len(cloud.Calls("/scale")) > 0 })
	first := cloud.Calls("/scale")[0]
	d.is.Equal(first.Status, http.StatusOK)
	d.is.Equal(first.Body["Service"], "drafting")
	d.is.Equal(first.Body["Zone"], "a") // no target was ever seen in the other zone
	d.is.True(first.Body["DesiredCount"].(float64) > 2)
	var killed, other *vm
	for _, v := range d.vms {
		if v.name == first.Holder {
			killed = v
		} else {
			other = v
		}
	}
	pool := killed.process.State().Scaling["drafting"]
	d.is.Equal(pool.Token, first.Token)
	d.is.True(pool.OpenItems > 0 && pool.PeakSlots > 8)
	d.is.Equal(len(other.process.State().Scaling), 0)
	d.kill(killed)
	d.eventually(20*time.Second, "another VM orders targets", func() bool {
		calls := cloud.Calls("/scale")
		return calls[len(calls)-1].Holder != first.Holder
	})
	calls := cloud.Calls("/scale")
	holders := map[int64]string{}
	for i, c := range calls {
		d.is.True(holders[c.Token] == "" || holders[c.Token] == c.Holder)
		holders[c.Token] = c.Holder
		if i > 0 && c.Holder != calls[i-1].Holder {
			d.is.True(c.Token > calls[i-1].Token)
			d.is.True(c.At.Sub(calls[i-1].At) >= time.Second) // Settings.OrderHandover
		} else if i > 0 {
			d.is.Equal(c.Token, calls[i-1].Token)
		}
	}
	d.is.Equal(len(holders), 2)
}

// TestNoTargetsAreOrderedWithoutTheDuty guards against calls and work on VMs whose settings don't ask for it.
func TestNoTargetsAreOrderedWithoutTheDuty(t *testing.T) {
	d, cloud := newScaledDeployment(t, 1, false)
	d.eventually(5*time.Second, "the items run", func() bool { return len(d.engines[0].ExecutedRequests()) > 0 })
	time.Sleep(4 * time.Second) // longer than until the first order with the duty
	d.is.Equal(len(d.vms[0].process.State().Scaling), 0)
	d.is.Equal(len(cloud.Calls("/scale")), 0)
}
