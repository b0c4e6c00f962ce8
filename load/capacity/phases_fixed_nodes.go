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

// rolloutLimit is the time limit for new weights to reach all engines of a model.
const rolloutLimit = 60 * time.Second

// setPlatformOutage makes the whole platform unavailable, or available again.
func (c *cluster) setPlatformOutage(on bool) {
	// SetFaults returns no error on a stand-in that was created without a server of its own.
	_ = c.log.SetFaults(logservice.Faults{Outage: on})
	_ = c.store.SetFaults(weightstore.Faults{Outage: on})
	_ = c.vms.SetFaults(vmlist.Faults{Outage: on})
}

// measureTargetsAndRates measures each number of targets and each rate of changes of the plan, with a fixed number of
// nodes.
func (r *runner) measureTargetsAndRates() error {
	e := newEngines()
	defer e.close()
	if err := e.grow(slices.Max(r.plan.Targets)); err != nil {
		return err
	}
	r.baseHeap = heapBytes() // excludes the memory of the simulated engines
	c := newCluster("")
	defer c.close()
	if err := c.grow(r.plan.FixedNodes); err != nil {
		return err
	}
	if err := c.awaitJoined(joinLimit); err != nil {
		return err
	}
	all := e.addresses
	published := 0
	for _, n := range r.plan.Targets {
		e.addresses = all[:n]
		if err := r.addPools(c, e, published); err != nil {
			return err
		}
		published = e.poolCount()
		time.Sleep(settleTime)
		s := c.measure(r.window(), r.baseHeap)
		r.res.ByTargets[n] = s
		r.printf("targets=%d control_bytes=%.0f busiest=%.0f relay=%.0f cpu=%.2f%% heap=%.2fMB appends=%.1f/s", n, s.BytesMean, s.BytesMax, s.RelayBytes, s.CPUPercent, s.HeapMB, s.Appends)
	}
	r.measureRates(c, e)
	return nil
}

// measureRates measures the cluster at each rate of changes of the plan.
func (r *runner) measureRates(c *cluster, e *engines) {
	for _, rate := range r.plan.Rates {
		stop, done := make(chan struct{}), make(chan struct{})
		go func() { defer close(done); r.applyChangesAtRate(c, e, rate, stop) }()
		time.Sleep(2 * time.Second)
		s := c.measure(r.window(), r.baseHeap)
		close(stop)
		<-done
		r.res.ByRate[fmt.Sprintf("%g", rate)] = s
		r.printf("changes=%g/s control_bytes=%.0f relay=%.0f watch=%.0f cpu=%.2f%%", rate, s.BytesMean, s.RelayBytes, s.WatchBytes, s.CPUPercent)
	}
}

// applyChangesAtRate applies `rate` changes per second until stop is closed.
func (r *runner) applyChangesAtRate(c *cluster, e *engines, rate float64, stop <-chan struct{}) {
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
		if _, err := c.apply(n, r.newPoolEdit(n, e, i)); err != nil {
			r.recordFailure("%v", err)
			return
		}
	}
}

// measureWeightRollout publishes a weight version and measures the time until all engines of the model run it.
func (r *runner) measureWeightRollout(c *cluster, e *engines) {
	model := modelOfPool(0)
	r.res.RolloutEngines = e.countBelowVersion(model, 2)
	start := time.Now()
	c.store.Publish(model, 2)
	if _, ok := waitUntil(rolloutLimit, func() bool { return e.countBelowVersion(model, 2) == 0 }); !ok {
		r.recordFailure("%d of %d engines without the new weights after %s", e.countBelowVersion(model, 2), r.res.RolloutEngines, rolloutLimit)
	}
	r.res.RolloutS = time.Since(start).Seconds()
	r.printf("new weights on %d engines: %.2f s, of which a swap takes %s", r.res.RolloutEngines, r.res.RolloutS, swapTime)
}

// measureClaimMemory fills a claims table to a quarter of its maximum and measures its memory per claim.
func (r *runner) measureClaimMemory() {
	const count = claims.MaxKeys / 4
	before := heapBytes()
	table := claims.NewTable()
	offset := trial.Offset(1)
	for i := 0; i < count; i += claims.MaxPerRecord {
		table.Apply(claimRecord(offset, i))
		offset++
	}
	r.res.ClaimBytes = (heapBytes() - before) / float64(table.Len())
	r.printf("memory of a claim: %.0f bytes, %d held", r.res.ClaimBytes, table.Len())
}

// claimRecord returns a record with the maximum number of claims, whose keys are numbered from first.
func claimRecord(offset trial.Offset, first int) trial.Record {
	list := make([]claims.Claim, claims.MaxPerRecord)
	for k := range list {
		list[k] = claims.Claim{
			Key: fmt.Sprintf("%064x", first+k), Fingerprint: fmt.Sprintf("%064x", k), ClaimID: uuid.NewString(),
			GateID: fmt.Sprintf("gate-%d", k%designNodes), GateIncarnation: fmt.Sprintf("incarnation-%d", k%designNodes),
		}
	}
	rec := claims.NewRecord(uuid.NewString(), 1, list)
	return trial.Record{Offset: offset, ID: rec.ID, Data: rec.Data}
}
