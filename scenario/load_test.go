package scenario

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ibistrail/ibistrail/fake/service"
)

// balancerInterval is the period at which a load polls the gates' readiness.
const balancerInterval = 20 * time.Millisecond

// load sends requests to the ready gates in turn until it is stopped. It never retries a request.
type load struct {
	c           *cluster
	name        string
	kind        string // call, complete or both
	caller      string
	path        string
	model       string
	maxTokens   int
	withKeys    bool
	stop        chan struct{}
	wg          sync.WaitGroup
	lastRequest atomic.Int64             // number of the last request sent
	readyGates  atomic.Pointer[[]string] // base URLs
	clients     []*http.Client

	mu          sync.Mutex
	callResults map[string]*result // by check header
	Sent        int                `json:"sent"`
	Done        int                `json:"done"`
	NotRun      int                `json:"notrun"`
	Unknown     int                `json:"unknown"`
	Cut         int                `json:"cut"`     // incomplete or absent answers
	Foreign     int                `json:"foreign"` // complete answers that belong to another request
	Doubled     int                `json:"doubled"` // calls executed more than once
	Lies        int                `json:"lies"`    // calls answered as not run that were executed
	Missing     int                `json:"missing"` // calls answered as done that were not executed
	Failures    []string           `json:"failures"`
}

// cmdLoad starts a load in the background: load NAME kind=call|complete|both workers=N gates=all|N,N as=CALLER path=P
// [keyed] [max=N].
func (c *cluster) cmdLoad(args cmdArgs) error {
	l := &load{
		c: c, name: args.positional(0), kind: args.option("kind", "both"), caller: args.option("as", "desk-app"), path: args.option("path", "/errata/corrections"),
		model: args.option("model", "drafting"), maxTokens: int(args.intOption("max", 80)), withKeys: args.hasFlag("keyed"), stop: make(chan struct{}), callResults: map[string]*result{},
	}
	c.mu.Lock()
	c.loads[l.name] = l
	c.mu.Unlock()
	l.refreshReadyGates()
	if len(*l.readyGates.Load()) == 0 {
		return fmt.Errorf("no gate is ready; await ready gates before load")
	}
	l.wg.Go(func() { l.runBalancer() })
	for i := range int(args.intOption("workers", 4)) {
		hc := &http.Client{Transport: &http.Transport{}}
		l.clients = append(l.clients, hc)
		l.wg.Go(func() { l.worker(i, hc) })
	}
	return nil
}

// refreshReadyGates polls the readiness of each gate.
func (l *load) refreshReadyGates() {
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
	l.readyGates.Store(&ready)
}

func (l *load) runBalancer() {
	t := time.NewTicker(balancerInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			l.refreshReadyGates()
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

// worker sends requests one after another over kept-alive connections.
func (l *load) worker(i int, hc *http.Client) {
	for !l.stopped() {
		gates := *l.readyGates.Load()
		if len(gates) == 0 {
			time.Sleep(balancerInterval)
			continue
		}
		n := l.lastRequest.Add(1)
		q := httpCall{url: gates[int(n)%len(gates)], caller: l.caller}
		id := fmt.Sprintf("%s-%d", l.name, n)
		if l.kind == "call" || l.kind == "both" && i%2 == 0 {
			l.call(hc, q, id)
		} else {
			r := l.c.requestCompletion(hc, completionRequest{httpCall: q, model: l.model, prompt: "load " + id, maxTokens: l.maxTokens, seed: n, stream: n%4 != 0})
			l.countResult(id, r)
		}
	}
	hc.CloseIdleConnections()
}

func (l *load) call(hc *http.Client, q httpCall, id string) {
	q.method, q.path, q.body = http.MethodPost, l.path, []byte("body of "+id)
	q.header = map[string]string{service.HeaderCheckID: id}
	if l.withKeys {
		q.header["Idempotency-Key"] = id
	}
	r := l.c.callService(hc, q)
	l.mu.Lock()
	l.callResults[id] = r
	l.mu.Unlock()
	l.countResult(id, r)
}

// countResult adds one result to the counts and keeps the first 8 failures as text.
func (l *load) countResult(id string, r *result) {
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
		l.Failures = append(l.Failures, id+" "+compactJSON(r)+" "+string(r.body[:min(len(r.body), 200)]))
	}
}

// cmdEnd stops loads, waits for their last answers and compares the answers with the services' records: end NAME…
func (c *cluster) cmdEnd(args cmdArgs) error {
	for _, name := range args.positionals() {
		c.mu.Lock()
		l := c.loads[name]
		c.mu.Unlock()
		if l == nil {
			return fmt.Errorf("no load %q", name)
		}
		close(l.stop)
		l.wg.Wait()
		calls, err := c.executedCalls()
		if err != nil {
			return err
		}
		l.compareExecutions(calls)
	}
	return nil
}

// compareExecutions counts the calls whose answer contradicts how often the services executed them.
func (l *load) compareExecutions(calls []executedCall) {
	executed := map[string]int{}
	for _, call := range calls {
		executed[call.CheckID]++
	}
	for id, r := range l.callResults {
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
