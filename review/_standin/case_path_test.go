package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["path"] = playPath }

// playPath sends requests whose paths begin with two slashes, on a route for all paths of its host. Clients that join an address with a
// slash at its end and a path send such requests.
func playPath(c *cluster) {
	const requests = 20
	for i := range 3 {
		c.startSampler("errata-desk", "zone-"+string(rune('a'+i)), 6)
	}
	c.configure([]map[string]any{
		{"Name": "r-desk", "Host": host, "PathPrefix": "/", "Kind": "idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 150, "Priority": 2, "Service": "errata-desk", "MaxAttempts": 2},
	}, []map[string]any{plainService("errata-desk")})
	c.startVMs(3)
	slashes := "/"
	if c.trouble {
		slashes = "//"
	}
	type asked struct{ method, target, host, body string }
	sent := map[string]asked{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range requests {
		id := fmt.Sprintf("9c41d07be2a4%04x", n)
		a := asked{http.MethodPost, fmt.Sprintf("%slohu930/entry/%d?of=%d", slashes, n, n), host, fmt.Sprintf("entry %d", n)}
		sent[id] = a
		wg.Go(func() {
			conn, err := net.Dial("tcp", c.vms[n%3].front)
			check(err)
			defer conn.Close()
			fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", a.method, a.target, a.host, id, len(a.body), a.body)
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				c.note("request %s, %s: %v", id, a.target, err)
				return
			}
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			c.note("request %s, %s: %d %q %v", id, a.target, resp.StatusCode, strings.TrimSpace(string(data)), err)
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	served := 0
	for _, r := range c.allRuns() {
		a, ok := sent[r.ID]
		switch {
		case !ok:
			c.broken("UNASKED: no client sent the request %s", r.ID)
		case r.Method != a.method || r.URLPath != a.target || r.Host != a.host || r.Body != a.body:
			c.broken("UNASKED: a sampler ran %s as %s, path and query %s, host %s; the client sent %s, %s, %s", r.ID, r.Method, r.URLPath, r.Host, a.method, a.target, a.host)
		default:
			served++
		}
	}
	fmt.Printf("%d of %d requests were run as they were sent\n", served, requests)
	c.note("%d of %d requests were run as they were sent", served, requests)
}
