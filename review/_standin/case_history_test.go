package standin

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"
)

func init() { cases["history"] = playHistory }

// seenBatch is a batch submission and the results that its trainer has read, by position.
type seenBatch struct {
	s         *submission
	submitted time.Time
	mu        sync.Mutex
	read      map[int]result
}

// playHistory plays the rollout traffic of a large deployment, without any disruption, and reads the batch submissions again from their starts
// at the end of the day. With trouble the outputs are longer than on average.
func playHistory(c *cluster) {
	const (
		trainers     = 4
		groups, size = 15, 8
		desired      = 14 // groups that a trainer waits for
		interval     = 4 * time.Second
		traffic      = 84 * time.Second
		timeBudget   = 12 * time.Second
		finish       = 10 * time.Second  // FinishS
		status       = 120 * time.Second // StatusS
		shortest     = 10
	)
	longest := 40 // the sheet's mean is 25
	if c.trouble {
		longest = 70 // of 181 at most
	}
	for i := range 40 {
		x := c.startSampler("drafting-models", "zone-"+string(rune('a'+i%3)), 6, model)
		x.eventBytes = 380
		x.events = func(id string) int {
			h := fnv.New32a()
			h.Write([]byte(id))
			return shortest + int(h.Sum32()>>8)%(longest-shortest+1)
		}
	}
	for i := range 6 {
		c.startSampler("errata-desk", "zone-"+string(rune('a'+i%3)), 6)
	}
	c.configure([]map[string]any{
		{"Name": "r-rollout", "Host": host, "PathPrefix": "/pule252/", "Kind": "rollout", "TargetLatencyMs": 500, "RunDeadlineMs": 7500, "RetentionS": 40, "Priority": 0, "Service": "drafting-models", "MaxAttempts": 3},
		{"Name": "r-score", "Host": host, "PathPrefix": "/pufi791/", "Kind": "idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 150, "Priority": 2, "Service": "errata-desk", "MaxAttempts": 4},
	}, []map[string]any{engineService("drafting-models", 6), plainService("errata-desk")})
	c.startVMs(6)
	var mu sync.Mutex
	var batches []*seenBatch
	var wg sync.WaitGroup
	begin := time.Now()
	for t := range trainers {
		for step := 0; ; step++ {
			at := begin.Add(time.Duration(t)*interval/trainers + time.Duration(step)*interval)
			if at.Sub(begin) > traffic {
				break
			}
			wg.Go(func() {
				time.Sleep(time.Until(at))
				s := newSubmission(fmt.Sprintf("7c41e09b52d6%02x%02x", t, step), "/pule252/", "/pufi791/", int64(step), 1, groups, size, 25*72)
				b := &seenBatch{s: s, submitted: time.Now(), read: map[int]result{}}
				if !c.trainStep(b, t+step, desired, timeBudget) {
					return
				}
				mu.Lock()
				batches = append(batches, b)
				mu.Unlock()
			})
		}
	}
	wg.Wait()
	slices.SortFunc(batches, func(a, b *seenBatch) int { return a.submitted.Compare(b.submitted) })
	c.store.mu.Lock()
	for _, topic := range slices.Sorted(maps.Keys(c.store.topics)) {
		for i, p := range c.store.topics[topic] {
			if p.bytes > 1<<20 {
				c.note("the store holds %d MB of %s/%d, from offset %d on", p.bytes>>20, topic, i, p.first)
				if !p.expiredAt.IsZero() {
					c.note("records of %s/%d expire since %.0f s after the first submission", topic, i, p.expiredAt.Sub(begin).Seconds())
				}
			}
		}
	}
	c.store.mu.Unlock()
	fmt.Printf("%d batches in %s\n", len(batches), time.Since(begin).Round(time.Second))
	for i, b := range batches {
		if i < 8 || i%16 == 0 {
			wg.Go(func() { c.readAgain(b, i, finish, status) })
		}
	}
	wg.Wait()
}

// trainStep submits a batch, reads its results and ends it when the desired groups are complete or the time budget is over. It reports whether the
// batch was accepted.
func (c *cluster) trainStep(b *seenBatch, n, desired int, budget time.Duration) bool {
	deadline := time.Now().Add(budget)
	for tries := 0; c.submit(c.vms[(n+tries)%len(c.vms)], b.s) != 202; tries++ {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	group := map[string]string{}
	for _, it := range b.s.items {
		group[it.Id] = it.Group
	}
	size := 0
	for _, it := range b.s.items {
		if it.Group == b.s.items[0].Group {
			size++
		}
	}
	listed, complete, next := map[string]int{}, 0, 0
	for complete < desired && time.Now().Before(deadline) {
		_, p := c.read(c.vms[n%len(c.vms)], b.s.id, next, 1000)
		if p == nil {
			n++
			time.Sleep(300 * time.Millisecond)
			continue
		}
		b.mu.Lock()
		for i, r := range p.Results {
			b.read[next+i] = r
			if listed[group[r.Id]]++; listed[group[r.Id]] == size {
				complete++
			}
		}
		b.mu.Unlock()
		next += len(p.Results)
		time.Sleep(300 * time.Millisecond)
	}
	c.note("step %s: %d of %d results are read, %d groups are complete, %d ms", b.s.id, next, len(b.s.items), complete, time.Since(b.submitted).Milliseconds())
	for tries := 0; c.end(c.vms[(n+tries)%len(c.vms)], b.s.id) != 200 && tries < 5; tries++ {
	}
	return true
}

// readAgain reads a batch from its start, at one VM after the other, again after each failure.
func (c *cluster) readAgain(b *seenBatch, n int, limit, status time.Duration) {
	seen := map[int]result{}
	failures, last := 0, 0
	for until := time.Now().Add(limit); len(seen) < len(b.read) && time.Now().Before(until); {
		code, p := c.read(c.vms[(n+failures)%len(c.vms)], b.s.id, len(seen), 0)
		if p == nil || len(p.Results) == 0 {
			failures, last = failures+1, code
			time.Sleep(250 * time.Millisecond)
			continue
		}
		for _, r := range p.Results {
			seen[len(seen)] = r
		}
	}
	age := time.Since(b.submitted)
	fmt.Printf("batch %s, submitted %.0f s ago: %d of %d results come again, %d failures, last %d\n", b.s.id, age.Seconds(), min(len(seen), len(b.read)), len(b.read), failures, last)
	if len(seen) < len(b.read) && age < status {
		c.broken("LOST: of the %d results of %s that its trainer had read, %d come again; submitted %.0f s before, %d reads failed, the last with %d", len(b.read), b.s.id, len(seen), age.Seconds(), failures, last)
	}
	for i, r := range seen {
		if was, ok := b.read[i]; ok && (was.Id != r.Id || was.Text != r.Text) {
			c.broken("TWICE: position %d of %s holds %s, and held %s before", i, b.s.id, r.Id, was.Id)
		}
	}
}
