package standin

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["poison"] = playPoison }

// playPoison sends a stream again and again that crashes each sampler which begins to run it, just after the first event.
func playPoison(c *cluster) {
	const (
		poison   = "the request that crashes"
		every    = 1500 * time.Millisecond
		sends    = 24
		stableMs = 3000 * time.Millisecond
		mostLate = 3
	)
	for i := range 9 {
		x := c.startSampler("drafting-models", "zone-"+string(rune('a'+i%3)), 8, model)
		x.downTime = 4500 * time.Millisecond
		x.crashesOn = func(body string) bool { return c.trouble && strings.Contains(body, poison) }
	}
	c.configure([]map[string]any{
		{"Name": "r-stream", "Host": host, "PathPrefix": "/muve118/", "Kind": "streaming", "TimeoutMs": 10000, "TargetLatencyMs": 500, "Priority": 1, "Service": "drafting-models", "MaxAttempts": 3, "Sticky": true},
	}, []map[string]any{engineService("drafting-models", 8)})
	c.startVMs(6)
	for n := range sends {
		id := fmt.Sprintf("b1ab%012x", n)
		go func() {
			a := c.call(c.vms[n%6], http.MethodPost, "/muve118/77", map[string]string{"Request-Id": id, "Deadline-Ms": "10000", "Model": model, "Token-Count": "16,1728", "Prompt-Prefix": "9c2e41:16"}, []byte(poison), 10*time.Second)
			c.note("request %s at %s: %d, %d bytes, %v", id, c.vms[n%6].name, a.status, len(a.body), a.err)
		}()
		time.Sleep(every)
	}
	time.Sleep(2 * time.Second)
	var third time.Time
	crashes, late := 0, 0
	for _, r := range c.allRuns() { // in the order of their ends
		if !third.IsZero() && r.Started.After(third.Add(stableMs)) {
			late++
		}
		if r.Crashed {
			if crashes++; crashes == 3 {
				third = r.Ended
			}
		}
	}
	c.note("%d crashes; %d runs later than %s after the third", crashes, late, stableMs)
	fmt.Printf("%d crashes; %d runs later than %s after the third\n", crashes, late, stableMs)
	if crashes >= 3 && late > mostLate {
		c.broken("BUDGET: the request that crashes its samplers was run %d times later than %s after its third crash, and crashed %d samplers", late, stableMs, crashes)
	}
}
