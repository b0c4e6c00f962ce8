package standin

import (
	"fmt"
	"time"
)

func init() { cases["moved"] = playMoved }

// playMoved submits a batch, whose route the operator then moves to another service of model samplers. Another client resends the batch
// some seconds after its 202, as other clients do all day. All read it at all VMs, as other clients do as well.
func playMoved(c *cluster) {
	const (
		groups, size = 14, 4
		slots        = 4
	)
	lengths := func(id string) int { return 20 + 60*int(id[len(id)-1]%4) + 7*int(id[len(id)-3]%8) }
	for _, service := range []string{"huvo11a", "wuno96b"} {
		for i := range 3 {
			x := c.startSampler(service, "zone-"+string(rune('a'+i)), slots, model)
			x.events = lengths
		}
	}
	for i := range 3 {
		c.startSampler("xano55b", "zone-"+string(rune('a'+i)), 6)
	}
	configure := func(service string) {
		c.configure([]map[string]any{
			{"Name": "r-rollout", "Host": host, "PathPrefix": "/pule252/", "Kind": "rollout", "TargetLatencyMs": 500, "RunDeadlineMs": 30000, "RetentionS": 60, "Priority": 0, "Service": service, "MaxAttempts": 3},
			{"Name": "r-score", "Host": host, "PathPrefix": "/pufi791/", "Kind": "idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 800, "Priority": 2, "Service": "xano55b", "MaxAttempts": 4},
		}, []map[string]any{engineService("huvo11a", slots), engineService("wuno96b", slots), plainService("xano55b")})
	}
	configure("wuno96b")
	c.startVMs(6)
	s := newSubmission("7c41e09b52d6a3f8", "/pule252/", "/pufi791/", 0, 1, groups, size, 300*72)
	if c.submit(c.vms[0], s) != 202 {
		check(fmt.Errorf("the batch is not accepted"))
	}
	w := &watch{c: c, s: s, positions: map[int]result{}, items: map[string]int{}, readAt: map[int]time.Time{}}
	w.readAll(5 * time.Second)
	if c.trouble {
		configure("huvo11a")
	}
	w.readAll(2500 * time.Millisecond)
	if status := c.submit(c.vms[3], s); status != 202 {
		c.note("the resent batch is answered %d", status)
	}
	w.readAll(12 * time.Second)
	ended := time.Time{}
	for _, v := range c.vms {
		if c.end(v, s.id) == 200 {
			ended = time.Now()
			break
		}
	}
	w.readAll(8 * time.Second)
	for _, r := range c.allRuns() {
		if !ended.IsZero() && !r.Reward && r.Started.After(ended.Add(3*time.Second)) {
			c.broken("UNASKED: item %s runs at %s %d ms after the confirmation of its batch's end", r.ID, r.Sampler, r.Started.Sub(ended).Milliseconds())
		}
	}
}

// watch reads a batch at all VMs and compares what they show.
type watch struct {
	c         *cluster
	s         *submission
	positions map[int]result
	items     map[string]int
	readAt    map[int]time.Time // by position: when it was read first
	at        int
}

// settle is SettleMs.
const settle = time.Second

// readAll reads the batch from its start at the VMs in turn.
func (w *watch) readAll(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(400 * time.Millisecond) {
		v := w.c.vms[w.at%len(w.c.vms)]
		w.at++
		began := time.Now()
		status, p := w.c.read(v, w.s.id, 0, 0)
		if status == 404 || status == 410 {
			w.c.broken("LOST: %s answers %d for an accepted batch", v.name, status)
		}
		if p == nil {
			continue
		}
		if p.Total != len(w.s.items) {
			w.c.broken("MIXED: %s shows a total of %d", v.name, p.Total)
		}
		for i, r := range p.Results {
			if before, ok := w.positions[i]; !ok {
				w.positions[i], w.readAt[i] = r, time.Now()
			} else if before.Id != r.Id || before.State != r.State || before.Text != r.Text || fmt.Sprint(before.Versions) != fmt.Sprint(r.Versions) {
				w.c.broken("TWICE: position %d holds %s at %s, and held %s before", i, r.Id, v.name, before.Id)
			} else if before.Score != r.Score {
				w.c.broken("TWICE: position %d holds %s with the score %s at %s, and held it with %s before", i, r.Id, r.Score, v.name, before.Score)
			}
			if at, ok := w.items[r.Id]; ok && at != i {
				w.c.broken("TWICE: item %s stands at the positions %d and %d", r.Id, at, i)
			}
			w.items[r.Id] = i
		}
		for i := len(p.Results); i < len(w.positions); i++ {
			if at, ok := w.readAt[i]; ok && began.Sub(at) > settle {
				w.c.broken("LOST: %s has nothing at position %d, which was read %d ms before", v.name, i, began.Sub(at).Milliseconds())
				break
			}
		}
	}
}
