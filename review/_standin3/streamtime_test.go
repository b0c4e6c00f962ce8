package standin3

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["streamtime"] = streamTimeout }

// streamTimeout sends requests of a streaming route while one of six samplers is dark. Without trouble, none is.
func streamTimeout(p *play) error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	const (
		routeTimeout = 1500 * time.Millisecond
		slack        = 500 * time.Millisecond
		darkTime     = 4500 * time.Millisecond
	)
	st, err := newStore("127.0.61.200", 12)
	if err != nil {
		return err
	}
	p.store = st
	st.put("keyed.op", "config", configuration(7, map[string]any{
		"Name": "r-talk", "Host": host, "PathPrefix": "/talk/", "Kind": "streaming", "TimeoutMs": routeTimeout.Milliseconds(), "TargetLatencyMs": 500, "Priority": 1, "Service": engine, "MaxAttempts": 2,
	}))
	var mu sync.Mutex
	var dark *sampler
	darkUntil := make(chan struct{})
	var samplers []*sampler
	for i := range 6 {
		x, err := newSampler(ctx, st, p.log, "127.0.61.210", fmt.Sprintf("i-e%d", i), engine, "dixie-east-a", 8, model)
		if err != nil {
			return err
		}
		x.serve = func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
			mu.Lock()
			isDark := dark == x
			mu.Unlock()
			if !isDark {
				return false
			}
			p.log.printf("%s, which is dark, gets %s", x.id, r.Header.Get("Request-Id"))
			select {
			case <-darkUntil:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler) // it has crashed
		}
		samplers = append(samplers, x)
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
	if p.trouble {
		mu.Lock()
		dark = samplers[2]
		mu.Unlock()
		p.log.printf("%s goes dark", dark.id)
		time.AfterFunc(darkTime, func() {
			mu.Lock()
			dark = nil
			mu.Unlock()
			p.log.printf("the dark sampler has crashed and is back")
			close(darkUntil)
		})
	}
	type outcome struct {
		id       string
		answered time.Duration // until the first event or another answer; 0 if there was none
		status   int
		events   int
	}
	var wg sync.WaitGroup
	outcomes := make([]outcome, 60)
	for n := range outcomes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			o := &outcomes[n]
			o.id = fmt.Sprintf("c0ffee%04x", n)
			start := time.Now()
			reqCtx, stop := context.WithTimeout(ctx, 10*time.Second)
			defer stop()
			req, err := http.NewRequestWithContext(reqCtx, http.MethodPost, "http://"+p.vms[n%2].frontend+"/talk/x", strings.NewReader("prompt"))
			if err != nil {
				return
			}
			req.Host = host
			for k, v := range map[string]string{"Request-Id": o.id, "Deadline-Ms": "10000", "Model": model, "Token-Count": "540,400", "Prompt-Prefix": "9c2e41:300,5d07b8:240"} {
				req.Header.Set(k, v)
			}
			resp, err := clientTransport.RoundTrip(req)
			if err != nil {
				o.answered = time.Since(start)
				p.log.printf("%s: no answer after %d ms: %v", o.id, o.answered.Milliseconds(), err)
				return
			}
			defer resp.Body.Close()
			o.status = resp.StatusCode
			lines := bufio.NewScanner(resp.Body)
			for lines.Scan() {
				if o.answered == 0 {
					o.answered = time.Since(start)
				}
				if strings.HasPrefix(lines.Text(), "id:") {
					o.events++
				}
			}
			if o.answered == 0 {
				o.answered = time.Since(start)
			}
			p.log.printf("%s: status %d, first answer after %d ms, %d events, %d ms in all", o.id, o.status, o.answered.Milliseconds(), o.events, time.Since(start).Milliseconds())
		}()
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	unanswered, held := 0, 0
	for _, o := range outcomes {
		if o.answered > routeTimeout {
			unanswered++
		}
		if o.answered > routeTimeout+slack {
			held++
		}
	}
	p.log.printf("%d of %d requests were unanswered at TimeoutMs, %d of them half a second later", unanswered, len(outcomes), held)
	if held >= 8 && 2*held > unanswered {
		p.breaks("CONFIG: of %d requests that were still unanswered at their route's TimeoutMs, %d had no answer half a second later", unanswered, held)
	}
	return nil
}
