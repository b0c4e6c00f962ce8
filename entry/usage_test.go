package entry_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/duties"
	"github.com/ibistrail/ibistrail/entry"
	"github.com/ibistrail/ibistrail/fake/errata"
	"github.com/ibistrail/ibistrail/forward"
	"github.com/ibistrail/ibistrail/platform"
	"github.com/ibistrail/ibistrail/usage"
)

// headerTestOrganisation names the organisation of a test's request.
const headerTestOrganisation = "Test-Organisation"

// organisationHandler gives requests the organisation that a test names.
type organisationHandler struct{ *forward.Forwarder }

func (h organisationHandler) Serve(ctx context.Context, req *forward.Request) *forward.Reply {
	if name := req.Header.Get(headerTestOrganisation); name != "" {
		req.Organisation = name
	}
	return h.Forwarder.Serve(ctx, req)
}

// cloudAccess is the way of one VM to the platform's API for duties.
type cloudAccess struct {
	*platform.CloudClient
	cut atomic.Bool
}

func (a *cloudAccess) ReportUsage(ctx context.Context, h duties.Holder, u duties.Usage) error {
	if a.cut.Load() {
		return errors.New("the path is cut")
	}
	return a.CloudClient.ReportUsage(ctx, h, u)
}

func (a *cloudAccess) Reach(ctx context.Context) error {
	if a.cut.Load() {
		return errors.New("the path is cut")
	}
	return a.CloudClient.Reach(ctx)
}

// usageWindow is short, so that a test sees many windows.
const usageWindow = time.Second

func newUsageDeployment(t *testing.T, vms int) *deployment {
	d := newDeployment(t, 0, 2, 0)
	d.cloud = errata.NewCloud()
	t.Cleanup(d.cloud.Close)
	d.duties = entry.DutySettings{Address: d.cloud.Address(), ReportUsage: true, UsageWindow: usageWindow, UsageDue: 10 * time.Second}
	for i := range vms {
		d.startVM(fmt.Sprintf("vm-%d", i))
	}
	return d
}

// usageHolder returns the VM that has the duty, or nil.
func (d *deployment) usageHolder() *vm {
	for _, v := range d.vms {
		if v.process.State().Usage.Held {
			return v
		}
	}
	return nil
}

// reportedUsage checks the calls that the API received: no window has two different counts, no call comes from a VM with a lower token than an
// earlier one, and no VM reports within the handover delay after another has. It returns the counts that the API took, by window.
func (d *deployment) reportedUsage() map[int64]map[string]int64 {
	d.t.Helper()
	out, accepted := map[int64]map[string]int64{}, map[int64]map[string]int64{}
	var previous errata.DutyCall
	for i, c := range d.cloud.Calls("/usage") {
		if i > 0 && c.Token < previous.Token || c.Token == previous.Token && c.Holder != previous.Holder {
			d.t.Errorf("%s reports with token %d after %s with %d", c.Holder, c.Token, previous.Holder, previous.Token)
		}
		if i > 0 && c.Holder != previous.Holder && c.At.Sub(previous.At) < time.Second {
			d.t.Errorf("%s reports %s after %s", c.Holder, c.At.Sub(previous.At), previous.Holder)
		}
		previous = c
		w := int64(c.Body["WindowId"].(float64))
		counts := map[string]int64{}
		for organisation, n := range c.Body["Counts"].(map[string]any) {
			counts[organisation] = int64(n.(float64))
		}
		if earlier, ok := out[w]; ok && fmt.Sprint(earlier) != fmt.Sprint(counts) {
			d.t.Errorf("window %d was reported with %v and %v", w, earlier, counts)
		}
		if late := c.At.Sub(time.Unix(0, (w+1)*int64(usageWindow))); late > d.duties.UsageDue+500*time.Millisecond {
			d.t.Errorf("window %d was reported %s after its end", w, late)
		}
		out[w] = counts
		if c.Status == http.StatusOK {
			accepted[w] = counts
		}
	}
	return accepted
}

// trueUsage returns the number of requests that the targets began, by window and organisation.
func (d *deployment) trueUsage() map[int64]map[string]int64 {
	out := map[int64]map[string]int64{}
	seen := map[string]bool{}
	for _, s := range d.services {
		for _, r := range s.ExecutedRequests() {
			w := r.At.UnixNano() / int64(usageWindow)
			if seen[r.ID] {
				continue
			}
			seen[r.ID] = true
			if out[w] == nil {
				out[w] = map[string]int64{}
			}
			out[w][r.Header.Get(headerTestOrganisation)]++
		}
	}
	return out
}

// TestUsageIsReportedThroughFaults kills the VM that has the duty and lets the API be down for some seconds: each window is reported in
// time, with the counts of all VMs and always the same.
func TestUsageIsReportedThroughFaults(t *testing.T) {
	d := newUsageDeployment(t, 4)
	d.eventually(5*time.Second, "a VM has the duty", func() bool { return d.usageHolder() != nil })
	holder := d.usageHolder()
	var callers []*vm // a VM that is killed loses up to a second of its counts
	for _, v := range d.vms {
		if v != holder {
			callers = append(callers, v)
		}
	}
	begin := time.Now()
	call := func(until time.Duration) {
		for i := 0; time.Since(begin) < until; i++ {
			organisation := []string{"hule930", "sara2"}[i%2]
			id := fmt.Sprintf("u-%d-%d", until, i)
			d.is.Equal(d.call(callers[i%len(callers)], http.MethodPost, "/desk/a", id, "x", headerTestOrganisation, organisation).status, http.StatusOK)
			time.Sleep(15 * time.Millisecond)
		}
	}
	call(6 * time.Second)
	d.is.True(len(d.cloud.Calls("/usage")) > 0)
	d.cloud.Set(func(c *errata.Cloud) { c.LoseAnswers = 2 })
	call(8 * time.Second)
	d.kill(holder)
	d.vms = callers
	call(11 * time.Second)
	d.cloud.Set(func(c *errata.Cloud) { c.Down = true })
	call(14 * time.Second)
	d.cloud.Set(func(c *errata.Cloud) { c.Down = false })
	call(16 * time.Second)
	last := time.Now().UnixNano()/int64(usageWindow) - 1
	d.eventually(12*time.Second, "the last window is reported", func() bool { return d.reportedUsage()[last] != nil })
	reported, real := d.reportedUsage(), d.trueUsage()
	wanted, got := map[string]int64{}, map[string]int64{}
	for w := begin.UnixNano()/int64(usageWindow) + 1; w <= last; w++ {
		d.is.True(reported[w] != nil) // each window is reported
		for organisation, n := range real[w] {
			wanted[organisation] += n
			got[organisation] += reported[w][organisation]
			if diff := reported[w][organisation] - n; diff < -2 || diff > 2 { // a request may begin just beside a window's limit
				t.Errorf("window %d, %s: reported %d requests, targets began %d", w, organisation, reported[w][organisation], n)
			}
		}
	}
	for organisation, n := range wanted {
		d.is.True(got[organisation] >= n-2 && got[organisation] <= n+2)
	}
	d.is.True(strings.Count(d.log.String(), "msg=usage_sent") >= 10)
}

// TestUsageMovesToAVMThatReachesTheAPI cuts the VM that has the duty off from the API: another VM must go on.
func TestUsageMovesToAVMThatReachesTheAPI(t *testing.T) {
	d := newUsageDeployment(t, 3)
	d.eventually(8*time.Second, "a window is reported", func() bool { return len(d.reportedUsage()) > 0 })
	time.Sleep(vmsKnowEachOther)
	holder := d.usageHolder()
	holder.cloudAccess.cut.Store(true)
	n := len(d.reportedUsage())
	d.eventually(12*time.Second, "another VM reports", func() bool { return len(d.reportedUsage()) > n+3 })
	first := time.Now().Add(-12 * time.Second)
	last := time.Now().UnixNano()/int64(usageWindow) - 5
	reported := d.reportedUsage()
	for w := first.UnixNano()/int64(usageWindow) + 1; w < last; w++ {
		d.is.True(reported[w] != nil) // no window is missed
	}
	d.is.True(d.usageHolder() != holder)
}

// TestPlannedStopAppendsCounts stops a VM right after a request: its counts were lost with the process.
func TestPlannedStopAppendsCounts(t *testing.T) {
	d := newUsageDeployment(t, 2)
	v := d.vms[1]
	go func() {
		time.Sleep(1900 * time.Millisecond)
		d.call(v, http.MethodPost, "/desk/a", "late", "x", headerTestOrganisation, "hule930")
	}()
	close(v.stop)
	<-v.done
	v.done <- nil
	d.is.True(d.store.Appended(usage.TopicCounts) > 0)
}

// TestNoUsageWithoutTheDuty covers deployments without the duty: they must append nothing and compete for no tenure.
func TestNoUsageWithoutTheDuty(t *testing.T) {
	d := newDeployment(t, 0, 1, 1)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/desk/a", "r1", "x", headerTestOrganisation, "hule930").status, http.StatusOK)
	time.Sleep(time.Second)
	for _, topic := range []string{usage.TopicCounts, usage.TopicReports, usage.TenureTopic} {
		d.is.Equal(d.store.Appended(topic), 0)
	}
	d.is.True(d.vms[0].process.State().Usage == nil)
}
