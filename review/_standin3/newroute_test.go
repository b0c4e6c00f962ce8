package standin3

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["newroute"] = newRoute }

// newRoute lets clients send requests on a route that the operator adds and removes again, in quick succession. Without trouble, the operator
// changes another route.
func newRoute(p *play) error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	st, err := newStore("127.0.61.200", 12)
	if err != nil {
		return err
	}
	p.store = st
	version := 7
	st.put("keyed.op", "config", configuration(version))
	const (
		body     = "a correction of 24 bytes"
		cores    = 4 // machines may expose several
		playTime = 90 * time.Second
		// A storm of changes lasts 4 s, with 0.33 s between two of them.
		stormTime, stormGap, stormPause = 4 * time.Second, 330 * time.Millisecond, time.Second
		enough                          = 3 // requests with another body, after which the play ends
	)
	var ran, changed atomic.Int64
	for i := range 3 {
		x, err := newSampler(ctx, st, p.log, "127.0.61.211", fmt.Sprintf("i-d%d", i), desk, "dixie-east-a", 60)
		if err != nil {
			return err
		}
		x.work = time.Millisecond
		x.serve = func(_ http.ResponseWriter, r *http.Request, got []byte) bool {
			ran.Add(1)
			if string(got) != body {
				changed.Add(1)
				p.log.printf("%s runs %s %s %s with %d bytes in the place of %d", x.id, r.Method, r.URL.Path, r.Header.Get("Request-Id"), len(got), len(body))
			}
			return false
		}
		if _, err = newSampler(ctx, st, p.log, "127.0.61.210", fmt.Sprintf("i-e%d", i), engine, "dixie-east-a", 8, model); err != nil {
			return err
		}
	}
	for n := 1; n <= 3; n++ {
		v, err := newVM(p.log, p.dir, fmt.Sprintf("vm-%d", n), fmt.Sprintf("127.0.61.%d", n), "dixie-east-a", st.address, true)
		if err != nil {
			return err
		}
		p.vms = append(p.vms, v)
		if err := writeFile(v.settings, strings.Replace(readFile(v.settings), "Cores = 1", fmt.Sprintf("Cores = %d", cores), 1)); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range p.vms {
		if err := v.awaitReady(ctx); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	var wg sync.WaitGroup
	var sent, missing, served, other atomic.Int64
	end := time.Now().Add(playTime)
	going := func() bool { return time.Now().Before(end) && changed.Load() < enough && ctx.Err() == nil }
	for w := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; going(); n++ {
				id := fmt.Sprintf("ab%02x%012x", w, n)
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.vms[w%len(p.vms)].frontend+"/new/x", bytes.NewReader([]byte(body)))
				if err != nil {
					return
				}
				req.Host = host
				req.Header.Set("Request-Id", id)
				req.Header.Set("Deadline-Ms", "1500")
				for i := range 300 { // within MaxHeaderBytes
					req.Header.Set(fmt.Sprintf("Note-%d", i), "a correction")
				}
				resp, err := transport.RoundTrip(req)
				sent.Add(1)
				if err != nil {
					other.Add(1)
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body) // the status tells enough
				resp.Body.Close()
				switch resp.StatusCode {
				case http.StatusOK:
					served.Add(1)
				case http.StatusNotFound:
					missing.Add(1)
				default:
					other.Add(1)
				}
			}
		}()
	}
	changes := 0
	stormEnds := time.Now().Add(stormTime)
	for going() {
		if time.Now().After(stormEnds) {
			time.Sleep(stormPause)
			stormEnds = time.Now().Add(stormTime)
		}
		version++
		var extra []map[string]any
		prefix := "/new/"
		if !p.trouble {
			prefix = "/another/"
		}
		if version%2 == 0 {
			extra = append(extra, map[string]any{"Name": "r-new", "Host": host, "PathPrefix": prefix, "Kind": "idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 150, "Priority": 2, "Service": desk, "MaxAttempts": 2})
		}
		st.put("keyed.op", "config", configuration(version, extra...))
		changes++
		time.Sleep(stormGap)
	}
	wg.Wait()
	p.log.printf("%d changes; %d requests sent: %d answered 200, %d 404, %d otherwise; %d run, %d of them with another body", changes, sent.Load(), served.Load(), missing.Load(), other.Load(), ran.Load(), changed.Load())
	if changed.Load() > 0 {
		p.breaks("UNASKED: %d requests ran with another body than their clients sent", changed.Load())
	}
	return nil
}
