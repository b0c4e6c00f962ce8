package standin

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

// playStop stops a machine by SIGTERM, as planned work does, while it answers requests that take some seconds. All of them would be answered
// well within the grace period, and before its last sixth.
func playStop(c *cluster) {
	const (
		grace     = 8 * time.Second
		before    = 150 * time.Millisecond // the last request is read by then
		firstEnd  = 6200 * time.Millisecond
		lastEnd   = 6630 * time.Millisecond // the last sixth of the grace period begins at 6,667 ms
		requests  = 24
		killDelay = grace
	)
	work := map[string]time.Duration{}
	var mu sync.Mutex
	for i := range 6 {
		x := c.startSampler("errata-desk", "zone-"+string(rune('a'+i%3)), 6)
		x.work = func(path string) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return work[path]
		}
	}
	c.configure([]map[string]any{
		{"Name": "r-desk", "Host": host, "PathPrefix": "/lohu930/", "Kind": "idempotent", "TimeoutMs": 10000, "TargetLatencyMs": 9000, "Priority": 2, "Service": "errata-desk", "MaxAttempts": 2},
	}, []map[string]any{plainService("errata-desk")})
	c.startVMs(3)
	time.Sleep(4 * time.Second) // machines are in touch
	v := c.vms[0]
	var wg sync.WaitGroup
	term := time.Now().Add(before)
	for n := range requests {
		path := fmt.Sprintf("/lohu930/%d", n)
		end := firstEnd + time.Duration(n)*(lastEnd-firstEnd)/(requests-1) // after SIGTERM
		mu.Lock()
		work[path] = time.Until(term) + end
		mu.Unlock()
		id := fmt.Sprintf("9c41d07be2a3%04x", n)
		wg.Go(func() {
			a := c.call(v, http.MethodPost, path, map[string]string{"Request-Id": id, "Deadline-Ms": "9900"}, []byte("body"), 10*time.Second)
			c.note("request %s, whose sampler is done %d ms after SIGTERM, ends %d ms after it: %d %v", id, end.Milliseconds(), a.at.Sub(term).Milliseconds(), a.status, a.err)
			if done, ok := c.wouldEnd(id, work, &mu); a.err != nil && ok && done.Before(term.Add(grace-grace/6)) {
				c.broken("LOST: request %s was read and passed on, its sampler would have been done %d ms after SIGTERM, and its channel ended %d ms after it without an answer: %v", id, end.Milliseconds(), a.at.Sub(term).Milliseconds(), a.err)
			}
		})
	}
	time.Sleep(time.Until(term))
	if c.trouble {
		v.signal(syscall.SIGTERM)
		time.AfterFunc(killDelay, func() {
			select {
			case <-v.done:
			default:
				v.signal(syscall.SIGKILL)
			}
		})
	}
	wg.Wait()
}

// wouldEnd returns when the first sampler to do so would have answered a request, had its channel not been closed; ok is false if none has run it.
func (c *cluster) wouldEnd(id string, work map[string]time.Duration, mu *sync.Mutex) (end time.Time, ok bool) {
	time.Sleep(500 * time.Millisecond) // a sampler may notice the end of the channel a little later
	mu.Lock()
	defer mu.Unlock()
	for _, r := range c.allRuns() {
		if done := r.Started.Add(work[r.Path]); r.ID == id && (!ok || done.Before(end)) {
			end, ok = done, true
		}
	}
	return end, ok
}
