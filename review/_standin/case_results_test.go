package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["results"] = playResults }

// holder returns the VM that last wrote to the store under a condition for a batch partition, or nil. It is only used to choose whom to kill,
// as the bench does with "leader".
func (c *cluster) holder() *vm {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	for _, p := range c.store.topics["tenures"] {
		if n := len(p.records); n > 0 {
			var doc struct {
				Machine string `json:"machine"`
			}
			if json.Unmarshal(p.records[n-1], &doc) == nil {
				for _, v := range c.vms {
					if v.ip == doc.Machine {
						return v
					}
				}
			}
		}
	}
	return nil
}

// playResults trains for five steps. While the first one, of long outputs, is in progress, the process is killed that last wrote to the store
// under a condition. One item of the second step can never be done. Groups of which not all items are listed when the trainer gives a
// step up come again in the next one.
func playResults(c *cluster) {
	const (
		groups, size = 8, 8
		steps        = 5
		killAfter    = 4 * time.Second
		downTime     = time.Second
		timeBudget   = 12 * time.Second
		most422      = 3
	)
	impossible := "" // ID of the item that can never be done
	for i := range 9 {
		x := c.startSampler("drafting-models", "zone-"+string(rune('a'+i%3)), 8, model)
		x.events = func(id string) int {
			if strings.HasPrefix(id, "7c41e09b52d6a300") {
				return 132 + int(id[len(id)-1]%8)*6 // 132 to 174, the most on the sheet
			}
			return 24
		}
		x.impossible = func(id string) bool { return id == impossible }
	}
	for i := range 6 {
		c.startSampler("errata-desk", "zone-"+string(rune('a'+i%3)), 6)
	}
	c.configure([]map[string]any{
		{"Name": "r-rollout", "Host": host, "PathPrefix": "/pule252/", "Kind": "rollout", "TargetLatencyMs": 500, "RunDeadlineMs": 7500, "RetentionS": 40, "Priority": 0, "Service": "drafting-models", "MaxAttempts": 3},
		{"Name": "r-score", "Host": host, "PathPrefix": "/pufi791/", "Kind": "idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 800, "Priority": 2, "Service": "errata-desk", "MaxAttempts": 4},
	}, []map[string]any{engineService("drafting-models", 8), plainService("errata-desk")})
	c.startVMs(6)
	var carried []item
	for step := range steps {
		s := newSubmission(fmt.Sprintf("7c41e09b52d6a3%02x", step), "/pule252/", "/pufi791/", int64(step), 1, groups, size, 24*72)
		s.items = append(carried, s.items[len(carried):]...)
		if step == 1 {
			impossible = s.items[len(s.items)-1].Id
			c.note("item %s can never be done", impossible)
		}
		s.encode(int64(step), 1, groups)
		for tries := 0; c.submit(c.vms[(step+tries)%6], s) != 202; tries++ {
			if tries == 5 {
				check(fmt.Errorf("step %d is not accepted", step))
			}
		}
		if step == 0 && c.trouble {
			time.AfterFunc(killAfter, func() {
				v := c.holder()
				if v == nil {
					check(fmt.Errorf("no VM writes under a condition"))
				}
				v.signal(syscall.SIGKILL)
				time.Sleep(downTime)
				v.launch()
			})
		}
		listed := map[string]string{}
		for deadline := time.Now().Add(timeBudget); len(listed) < len(s.items) && time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
			if _, p := c.read(c.vms[step%6], s.id, len(listed), 1000); p != nil {
				for _, r := range p.Results {
					listed[r.Id] = r.State
				}
			}
		}
		finished := 0
		for _, it := range s.items {
			if r := c.finishedRun(it.Id); r {
				finished++
			}
		}
		c.note("step %d: %d of %d results are listed; samplers have finished %d items", step, len(listed), len(s.items), finished)
		fmt.Printf("step %d: %d of %d results are listed; samplers have finished %d items\n", step, len(listed), len(s.items), finished)
		for tries := 0; c.end(c.vms[(step+tries)%6], s.id) != 200 && tries < 5; tries++ {
		}
		carried = incompleteGroups(s.items, listed, groups/2*size, impossible)
		time.Sleep(time.Second) // training
	}
	answers := 0
	for _, r := range c.allRuns() {
		if r.ID == impossible && r.Impossible {
			answers++
		}
	}
	c.note("samplers have answered 422 to %s %d times", impossible, answers)
	if answers > most422 {
		c.broken("BUDGET: item %s has reached samplers again after three answers of 422: %d answers", impossible, answers)
	}
}

// finishedRun reports whether a sampler has run an item to its end.
func (c *cluster) finishedRun(id string) bool {
	for _, r := range c.allRuns() {
		if r.ID == id && r.Complete {
			return true
		}
	}
	return false
}

// incompleteGroups returns the items of groups of which not all items are listed, at most n items: the group of the item with the ID first,
// if it is one of them, then the others in their order.
func incompleteGroups(items []item, listed map[string]string, n int, first string) []item {
	incomplete := map[string]bool{}
	firstGroup := ""
	for _, it := range items {
		if listed[it.Id] == "" {
			incomplete[it.Group] = true
		}
		if it.Id == first {
			firstGroup = it.Group
		}
	}
	var out []item
	for _, wantFirst := range []bool{true, false} {
		for _, it := range items {
			if incomplete[it.Group] && (it.Group == firstGroup) == wantFirst && len(out) < n {
				out = append(out, it)
			}
		}
	}
	return out
}
