package standin3

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stopwait"] = stopWhileWaiting }

// stopWhileWaiting stops a machine by SIGTERM while requests that it has read wait for room at the samplers of a plain service. Without
// trouble, it is not stopped.
func stopWhileWaiting(p *play) error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	const (
		work         = 3 * time.Second
		routeTimeout = 12 * time.Second
		grace        = 8 * time.Second        // GraceS
		lossSlack    = 200 * time.Millisecond // LossSlackMs
	)
	st, err := newStore("127.0.61.200", 12)
	if err != nil {
		return err
	}
	p.store = st
	st.put("keyed.op", "config", configuration(7, map[string]any{
		"Name": "r-file", "Host": host, "PathPrefix": "/file/", "Kind": "non_idempotent", "TimeoutMs": routeTimeout.Milliseconds(), "TargetLatencyMs": 500, "Priority": 2, "Service": desk, "MaxAttempts": 2,
	}))
	var mu sync.Mutex
	ran := map[string]time.Time{}
	for i := range 6 {
		x, err := newSampler(ctx, st, p.log, "127.0.61.211", fmt.Sprintf("i-d%d", i), desk, "dixie-east-a", 6)
		if err != nil {
			return err
		}
		x.work = work
		x.serve = func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
			mu.Lock()
			ran[r.Header.Get("Request-Id")] = time.Now()
			mu.Unlock()
			p.log.printf("%s begins to run %s", x.id, r.Header.Get("Request-Id"))
			return false
		}
		if _, err = newSampler(ctx, st, p.log, "127.0.61.210", fmt.Sprintf("i-e%d", i), engine, "dixie-east-a", 8, model); err != nil {
			return err
		}
	}
	for n := 1; n <= 2; n++ {
		if _, err := p.addVM(n, "dixie-east-a", true); err != nil {
			return err
		}
	}
	for _, v := range p.vms {
		if err := v.awaitReady(ctx); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	// Other requests keep all 36 slots of the samplers occupied, so that twelve become free each second, and a few of them wait.
	for n := range 92 {
		wg.Add(1)
		time.AfterFunc(time.Duration(n)*work/40, func() {
			defer wg.Done()
			id := fmt.Sprintf("0123%012x", n)
			a := call(ctx, p.vms[0], http.MethodPost, "/file/x", id, []byte("a correction"), routeTimeout+2*time.Second, "Deadline-Ms", fmt.Sprint(routeTimeout.Milliseconds()))
			p.log.printf("%s at %s: status %d, error %v", id, p.vms[0].name, a.status, a.err)
		})
	}
	time.Sleep(4500 * time.Millisecond)
	v := p.vms[0]
	var stopped time.Time
	if p.trouble {
		v.signal(syscall.SIGTERM)
		stopped = time.Now()
		p.log.printf("%s gets SIGTERM", v.name)
		time.AfterFunc(grace, func() {
			if v.running() {
				p.log.printf("%s is killed after GraceS", v.name)
				v.signal(syscall.SIGKILL)
			}
		})
	} else {
		stopped = time.Now()
	}
	time.Sleep(2300 * time.Millisecond) // the balancer notices after two misses, and opens connections until then
	for n := range 110 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("f11e%012x", n)
			sent := time.Now()
			a := call(ctx, v, http.MethodPost, "/file/x", id, []byte("a correction"), routeTimeout+2*time.Second, "Deadline-Ms", fmt.Sprint(routeTimeout.Milliseconds()))
			took := time.Since(sent)
			mu.Lock()
			begun, run := ran[id]
			mu.Unlock()
			p.log.printf("%s: status %d, error %v, after %d ms; run %t", id, a.status, a.err, took.Milliseconds(), run)
			if a.err == nil || took >= routeTimeout || took <= lossSlack {
				return
			}
			// Not counted: the sampler was still at work in the last sixth of GraceS.
			if run && begun.Add(work).After(stopped.Add(grace-grace/6)) {
				return
			}
			p.breaks("LOST: %s, sent %d ms after SIGTERM, was read, and its channel ended after %d ms without an answer; run %t", id,
				sent.Sub(stopped).Milliseconds(), took.Milliseconds(), run)
		}()
	}
	wg.Wait()
	if p.trouble {
		<-v.done
		p.log.printf("%s ended %.1f s after SIGTERM", v.name, time.Since(stopped).Seconds())
	}
	return nil
}
