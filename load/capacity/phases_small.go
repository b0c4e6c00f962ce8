package capacity

import (
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/ibistrail/ibistrail/claims"
	"github.com/ibistrail/ibistrail/fake/logservice"
	"github.com/ibistrail/ibistrail/fake/vmlist"
	"github.com/ibistrail/ibistrail/fake/weightstore"
	"github.com/ibistrail/ibistrail/trial"
)

// ordersLimit bounds the wait for new weights on all engines of a model.
const ordersLimit = 60 * time.Second

// outage takes the whole platform away, or gives it back.
func (c *cluster) outage(on bool) {
	// The switches of a stand-in without a server of its own cannot fail.
	_ = c.log.SetFaults(logservice.Faults{Outage: on})
	_ = c.store.SetFaults(weightstore.Faults{Outage: on})
	_ = c.vms.SetFaults(vmlist.Faults{Outage: on})
}

// targetsAndRates varies the number of targets, then the rate of changes, at a fixed number of nodes.
func (r *runner) targetsAndRates() error {
	e := newEngines()
	defer e.close()
	if err := e.grow(slices.Max(r.plan.Targets)); err != nil {
		return err
	}
	r.base = heap() // the engines' own memory is not the nodes'
	c := newCluster("")
	defer c.close()
	if err := c.grow(r.plan.SmallSize); err != nil {
		return err
	}
	if err := c.joined(joinLimit); err != nil {
		return err
	}
	all := e.addresses
	published := 0
	for _, n := range r.plan.Targets {
		e.addresses = all[:n]
		if err := r.addPools(c, e, published); err != nil {
			return err
		}
		published = e.pools()
		time.Sleep(settleTime)
		s := c.measure(r.window(), r.base)
		r.res.ByTargets[n] = s
		r.say("targets=%d control_bytes=%.0f busiest=%.0f relay=%.0f cpu=%.2f%% heap=%.2fMB appends=%.1f/s", n, s.BytesMean, s.BytesMax, s.RelayBytes, s.CPUPercent, s.HeapMB, s.Appends)
	}
	r.rates(c, e)
	return nil
}

// rates varies the rate of changes.
func (r *runner) rates(c *cluster, e *engines) {
	for _, rate := range r.plan.Rates {
		stop, done := make(chan struct{}), make(chan struct{})
		go func() { defer close(done); r.keepChanging(c, e, rate, stop) }()
		time.Sleep(2 * time.Second)
		s := c.measure(r.window(), r.base)
		close(stop)
		<-done
		r.res.ByRate[fmt.Sprintf("%g", rate)] = s
		r.say("changes=%g/s control_bytes=%.0f relay=%.0f watch=%.0f cpu=%.2f%%", rate, s.BytesMean, s.RelayBytes, s.WatchBytes, s.CPUPercent)
	}
}

// keepChanging applies changes at a rate until stop.
func (r *runner) keepChanging(c *cluster, e *engines, rate float64, stop <-chan struct{}) {
	if rate == 0 {
		<-stop
		return
	}
	n := c.running()[len(c.running())-1]
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		if _, err := c.apply(n, r.edit(n, e, i)); err != nil {
			r.fail("%v", err)
			return
		}
	}
}

// orders publishes a version and times until all engines of the model run it.
func (r *runner) orders(c *cluster, e *engines) {
	model := modelOf(0)
	r.res.Ordered = e.behind(model, 2)
	began := time.Now()
	c.store.Publish(model, 2)
	if _, ok := until(ordersLimit, func() bool { return e.behind(model, 2) == 0 }); !ok {
		r.fail("%d of %d engines without the new weights after %s", e.behind(model, 2), r.res.Ordered, ordersLimit)
	}
	r.res.OrdersS = time.Since(began).Seconds()
	r.say("new weights on %d engines: %.2f s, of which a swap takes %s", r.res.Ordered, r.res.OrdersS, swapTime)
}

// claims fills a table of claims and measures its memory.
func (r *runner) claims() {
	const count = claims.MaxKeys / 4
	before := heap()
	table := claims.NewTable()
	offset := trial.Offset(1)
	for i := 0; i < count; i += claims.MaxPerRecord {
		table.Apply(claimRecord(offset, i))
		offset++
	}
	r.res.ClaimBytes = (heap() - before) / float64(table.Len())
	r.say("memory of a claim: %.0f bytes, %d held", r.res.ClaimBytes, table.Len())
}

// claimRecord is a full record of claims with keys from first on.
func claimRecord(offset trial.Offset, first int) trial.Record {
	list := make([]claims.Claim, claims.MaxPerRecord)
	for k := range list {
		list[k] = claims.Claim{
			Key: fmt.Sprintf("%064x", first+k), Fingerprint: fmt.Sprintf("%064x", k), ClaimID: uuid.NewString(),
			GateID: fmt.Sprintf("gate-%d", k%nodesAtSize), GateIncarnation: fmt.Sprintf("incarnation-%d", k%nodesAtSize),
		}
	}
	rec := claims.NewRecord(uuid.NewString(), 1, list)
	return trial.Record{Offset: offset, ID: rec.ID, Data: rec.Data}
}
