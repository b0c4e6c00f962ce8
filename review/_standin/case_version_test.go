package standin

import (
	"fmt"
	"time"
)

func init() { cases["version"] = playVersion }

// playVersion trains on a route with SingleVersion: each step is asked once its version is named, and allows the version before. In each
// step but the first, one of six samplers crashes while its runs are in progress and some samplers have the newer version already.
func playVersion(c *cluster) {
	const (
		groups, size = 8, 4
		tokensOut    = 90 * 72
		steps        = 6
		slots        = 6
		downTime     = 4500 * time.Millisecond
	)
	for i := range 6 {
		x := c.startSampler("drafting-models", "zone-"+string(rune('a'+i%3)), slots, model)
		x.events = outputOf
	}
	for i := range 3 {
		c.startSampler("errata-desk", "zone-"+string(rune('a'+i%3)), 6)
	}
	c.configure([]map[string]any{
		{"Name": "r-rollout", "Host": host, "PathPrefix": "/pule252/", "Kind": "rollout", "TargetLatencyMs": 500, "RunDeadlineMs": 7500, "RetentionS": 40, "Priority": 0, "Service": "drafting-models", "MaxAttempts": 3, "SingleVersion": true},
		{"Name": "r-score", "Host": host, "PathPrefix": "/pufi791/", "Kind": "idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 800, "Priority": 2, "Service": "errata-desk", "MaxAttempts": 4},
	}, []map[string]any{engineService("drafting-models", slots), plainService("errata-desk")})
	c.startVMs(3)
	for step := range steps {
		least := int64(max(1, step)) // versions are counted from 1, before the first that is named
		if step > 0 {
			c.name(model, int64(step+1))
		}
		s := newSubmission(fmt.Sprintf("7c41e09b52d6a3%02x", step), "/pule252/", "/pufi791/", int64(step), least, groups, size, tokensOut)
		for tries := 0; c.submit(c.vms[(step+tries)%3], s) != 202; tries++ {
			if tries == 5 {
				check(fmt.Errorf("step %d is not accepted", step))
			}
		}
		if c.trouble && step > 0 {
			go c.crashAnOlder(downTime)
		}
		c.train(s, least)
		c.end(c.vms[step%3], s.id)
		time.Sleep(time.Second) // training
	}
}

// outputOf returns the number of events of an item: six of eight groups have long outputs, the others short ones.
func outputOf(id string) int {
	const long, short = 90, 20
	if id[len(id)-3]%4 != 0 {
		return long
	}
	return short
}

// crashAnOlder crashes the busiest sampler of those with the older version, once another one with the newer version has free slots, and the
// others with the older version have fewer than the crash needs. If that does not come about within three seconds, it crashes none.
func (c *cluster) crashAnOlder(downTime time.Duration) {
	const minRuns = 4
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		newerFree, olderFree, most, freeOfBusiest := 0, 0, 0, 0
		var busiest *sampler
		for _, x := range c.samplers {
			x.mu.Lock()
			n, free := x.running[model], x.slots-x.total()
			switch {
			case len(x.versions) == 0 || x.down || x.loading != "":
			case x.versions[model] == c.named(model):
				newerFree += free
			default:
				olderFree += free
				if n >= minRuns && n > most && x.eventsMade > 10*n {
					busiest, most, freeOfBusiest = x, n, free
				}
			}
			x.mu.Unlock()
		}
		if busiest != nil && newerFree >= minRuns && olderFree-freeOfBusiest < most {
			c.note("%d runs at a sampler with the older version; free slots: %d at others with it, %d with the newer one", most, olderFree-freeOfBusiest, newerFree)
			busiest.crash(downTime)
			return
		}
	}
	c.note("no sampler to crash")
}

// train reads a step's results until all are there or its time is up, and judges them by the rules VERSION and MIXED.
func (c *cluster) train(s *submission, least int64) {
	next := 0
	for deadline := time.Now().Add(12 * time.Second); next < len(s.items) && time.Now().Before(deadline); {
		status, p := c.read(c.vms[0], s.id, next, 1000)
		if status != 200 || p == nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for _, r := range p.Results {
			if r.State != "completed" {
				continue
			}
			if len(r.Versions) > 1 {
				c.broken("VERSION: %s of %s is completed with the versions %v on a route with SingleVersion; it ran %s", r.Id, s.id, r.Versions, c.runsOf(r.Id))
			}
			for _, v := range r.Versions {
				if v < least {
					c.broken("VERSION: %s of %s has version %d, and the step allows %d and newer", r.Id, s.id, v, least)
				}
			}
			if r.Text != wholeText(r.Id, outputOf(r.Id), 390) {
				c.broken("MIXED: the text of %s is not the item's whole output", r.Id)
			}
		}
		next = p.Next
	}
	c.note("step %s: %d of %d results", s.id, next, len(s.items))
}

// runsOf describes the runs of an item, as the samplers saw them.
func (c *cluster) runsOf(id string) string {
	out := ""
	for _, r := range c.allRuns() {
		if r.ID == id {
			out += fmt.Sprintf("[%s from event %d, %d events of versions %v, complete %v]", r.Sampler, r.From, r.Events, spans(r.Versions), r.Complete)
		}
	}
	return out
}
