package scenario

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ibistrail/ibistrail/fake/service"
)

// balancerInterval is how often the balancer of a load asks the gates whether they are ready.
const balancerInterval = 20 * time.Millisecond

// load sends requests through a balancer until it is ended. It never sends one again.
type load struct {
	c       *cluster
	name    string
	kind    string // call, complete or both
	as      string
	path    string
	model   string
	max     int
	keyed   bool
	stop    chan struct{}
	wg      sync.WaitGroup
	serial  atomic.Int64
	ready   atomic.Pointer[[]string] // base URLs of gates
	clients []*http.Client

	mu       sync.Mutex
	checks   map[string]*result // of calls
	Sent     int                `json:"sent"`
	Done     int                `json:"done"`
	NotRun   int                `json:"notrun"`
	Unknown  int                `json:"unknown"`
	Cut      int                `json:"cut"`     // no whole answer came
	Foreign  int                `json:"foreign"` // a whole answer that is not the request's own
	Doubled  int                `json:"doubled"` // calls that were executed more than once
	Lies     int                `json:"lies"`    // calls answered as not run that were executed
	Missing  int                `json:"missing"` // calls answered as done that were not executed
	Failures []string           `json:"failures"`
}

// cmdLoad starts a load: load NAME kind=call|complete|both workers=N gates=all|N,N as=CALLER path=P
// [keyed] [max=N].
func (c *cluster) cmdLoad(w words) error {
	l := &load{
		c: c, name: w.bare(0), kind: w.get("kind", "both"), as: w.get("as", "desk-app"), path: w.get("path", "/errata/corrections"),
		model: w.get("model", "drafting"), max: int(w.int("max", 80)), keyed: w.has("keyed"), stop: make(chan struct{}), checks: map[string]*result{},
	}
	c.mu.Lock()
	c.loads[l.name] = l
	c.mu.Unlock()
	l.balance()
	if len(*l.ready.Load()) == 0 {
		return fmt.Errorf("no gate is ready")
	}
	l.wg.Go(func() { l.balancer() })
	for i := range int(w.int("workers", 4)) {
		hc := &http.Client{Transport: &http.Transport{}}
		l.clients = append(l.clients, hc)
		l.wg.Go(func() { l.worker(i, hc) })
	}
	return nil
}

// balance asks each gate whether it is ready.
func (l *load) balance() {
	var ready []string
	for _, g := range l.c.plan.Gates {
		resp, err := l.c.http.Get("http://" + g.GateHTTP + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, "http://"+g.GateHTTP)
		}
	}
	l.ready.Store(&ready)
}

func (l *load) balancer() {
	t := time.NewTicker(balancerInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			l.balance()
		case <-l.stop:
			return
		}
	}
}

func (l *load) stopped() bool {
	select {
	case <-l.stop:
		return true
	case <-l.c.ctx.Done():
		return true
	default:
		return false
	}
}

// worker sends one request after the other over kept connections.
func (l *load) worker(i int, hc *http.Client) {
	for !l.stopped() {
		gates := *l.ready.Load()
		if len(gates) == 0 {
			time.Sleep(balancerInterval)
			continue
		}
		n := l.serial.Add(1)
		q := request{url: gates[int(n)%len(gates)], as: l.as}
		id := fmt.Sprintf("%s-%d", l.name, n)
		if l.kind == "call" || l.kind == "both" && i%2 == 0 {
			l.call(hc, q, id)
		} else {
			r := l.c.complete(hc, completion{request: q, model: l.model, prompt: "load " + id, maxTokens: l.max, seed: n, stream: n%4 != 0})
			l.count(id, r)
		}
	}
	hc.CloseIdleConnections()
}

func (l *load) call(hc *http.Client, q request, id string) {
	q.method, q.path, q.body = http.MethodPost, l.path, []byte("body of "+id)
	q.header = map[string]string{service.HeaderCheck: id}
	if l.keyed {
		q.header["Idempotency-Key"] = id
	}
	r := l.c.call(hc, q)
	l.mu.Lock()
	l.checks[id] = r
	l.mu.Unlock()
	l.count(id, r)
}

// count enters one result.
func (l *load) count(id string, r *result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Sent++
	switch r.Outcome {
	case "done":
		l.Done++
		if !r.Own {
			l.Foreign++
		}
	case "not-run":
		l.NotRun++
	case "unknown":
		l.Unknown++
	default:
		l.Cut++
	}
	if (r.Outcome != "done" || !r.Own) && len(l.Failures) < 8 {
		l.Failures = append(l.Failures, id+" "+compact(r)+" "+string(r.body[:min(len(r.body), 200)]))
	}
}

// cmdEnd ends loads, waits for their last answers and compares them with what was executed.
func (c *cluster) cmdEnd(w words) error {
	for _, name := range w.bares() {
		c.mu.Lock()
		l := c.loads[name]
		c.mu.Unlock()
		if l == nil {
			return fmt.Errorf("no load %q", name)
		}
		close(l.stop)
		l.wg.Wait()
		calls, err := c.calls()
		if err != nil {
			return err
		}
		l.compare(calls)
	}
	return nil
}

func (l *load) compare(calls []executedCall) {
	executed := map[string]int{}
	for _, call := range calls {
		executed[call.Check]++
	}
	for id, r := range l.checks {
		n := executed[id]
		switch {
		case n > 1:
			l.Doubled++
		case n == 1 && r.Outcome == "not-run":
			l.Lies++
		case n == 0 && r.Outcome == "done":
			l.Missing++
		}
	}
}
