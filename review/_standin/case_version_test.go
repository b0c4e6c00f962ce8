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
		steps        = 5
		downTime     = 4500 * time.Millisecond
	)
	for i := range 6 {
		x := c.startSampler("drafting-models", "zone-"+string(rune('a'+i%3)), 8, model)
		x.events = outputOf
	}
	for i := range 3 {
		c.startSampler("errata-desk", "zone-"+string(rune('a'+i%3)), 6)
	}
	c.configure([]map[string]any{
		{"Name": "r-rollout", "Host": host, "PathPrefix": "/pule252/", "Kind": "rollout", "TargetLatencyMs": 500, "RunDeadlineMs": 7500, "RetentionS": 40, "Priority": 0, "Service": "drafting-models", "MaxAttempts": 3, "SingleVersion": true},
		{"Name": "r-score", "Host": host, "PathPrefix": "/pufi791/", "Kind": "idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 800, "Priority": 2, "Service": "errata-desk", "MaxAttempts": 4},
	}, []map[string]any{engineService("drafting-models", 8), plainService("errata-desk")})
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

// outputOf returns the number of events of an item: half of the groups have long outputs, the others short ones.
func outputOf(id string) int {
	const long, short = 90, 20
	if id[len(id)-3]%2 == 0 {
		return long
	}
	return short
}

// crashAnOlder crashes the busiest sampler of those with the older version, once another one with the newer version has free slots. If there
// is none within three seconds, it crashes none.
func (c *cluster) crashAnOlder(downTime time.Duration) {
	const minRuns, minFree = 4, 4
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		newest, free := int64(0), 0
		var older *sampler
		most := 0
		for _, x := range c.samplers {
			x.mu.Lock()
			if v := x.versions[model]; len(x.versions) > 0 && !x.down && x.loading == "" {
				if n := x.slots - x.total(); v == c.named(model) && n >= minFree {
					newest, free = v, n
				}
				if n := x.running[model]; v < c.named(model) && n >= minRuns && n > most && x.eventsMade > 10*n {
					older, most = x, n
				}
			}
			x.mu.Unlock()
		}
		if older != nil && newest > 0 {
			c.note("a sampler with version %d has %d free slots", newest, free)
			older.crash(downTime)
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
