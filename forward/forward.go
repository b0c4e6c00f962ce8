// Package forward sends one caller's request to the targets of its route's pool: it picks targets
// by load and zone, repeats what may be repeated, sends a second copy of an idempotent request that
// is slow for its objective, and ends with one whole answer. It answers the load patterns of
// targets that die, turn slow or lose answers while requests keep coming.
package forward

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/routing"
	"github.com/ibistrail/ibistrail/targets"
	"github.com/ibistrail/ibistrail/trial"
)

// Times of a request.
const (
	// retryAfter is what a refused caller is told when no target can take its request: about the time
	// in which a target that sheds has served some of what it holds.
	retryAfter = 200 * time.Millisecond
	// configRetryAfter is what a caller is told before the first configuration is known.
	configRetryAfter = 500 * time.Millisecond
	// defaultBudget bounds a request that names no time and whose route has none.
	defaultBudget = 30 * time.Second
	// hedgeShare is the part of the objective after which an idempotent request is sent once more.
	hedgeShare = 0.5
	// minHedge keeps hedges off requests whose objective is shorter than a usual answer.
	minHedge = 50 * time.Millisecond
	// extraSends is how many more targets than its attempts a request may be offered to while targets
	// say that they did not run it.
	extraSends = 4
	// maxWhole is the largest answer that is read whole before any of it is passed on.
	maxWhole = 4 << 20
)

// Request is a caller's request.
type Request struct {
	ID        string
	Method    string
	Host      string
	Path, URI string
	Header    http.Header
	Body      []byte
	// Budget is how long the caller waits; 0 if it did not say.
	Budget      time.Duration
	ResumeAfter int64
}

// Reply is the one answer to a request.
type Reply struct {
	Status int
	Header http.Header
	// Body is nil for an empty body. It must be closed.
	Body   io.ReadCloser
	Length int64
	Proof  string
	// RetryAfter is set on refusals: the request has not run and never will.
	RetryAfter time.Duration
	// Reason tells why the VM answered itself; empty for a target's answer.
	Reason string
	// ServerErrors counts the targets' answers of 500.
	ServerErrors int
}

// Forwarder sends requests to targets.
type Forwarder struct {
	view   *fleet.View
	client targets.Client
	log    *slog.Logger
	az     string
	// requests counts replies by status, seconds is their latency.
	requests *expvar.Map
	seconds  *process.Latency

	mu    sync.Mutex
	rand  *rand.Rand
	pools map[string]*pool
}

// pool is the routing state of one pool, guarded by Forwarder.mu.
type pool struct {
	table  *routing.Table
	seen   *fleet.Snapshot
	byAddr map[string]*fleet.Instance
}

// New returns a forwarder.
func New(view *fleet.View, client targets.Client, az string, log *slog.Logger, metrics *process.Metrics) *Forwarder {
	return &Forwarder{
		view: view, client: client, log: log, az: az, pools: map[string]*pool{},
		requests: metrics.SubMap("requests"), seconds: metrics.Latency("request_seconds"),
		rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// State returns what the state dump shows of the targets, by pool.
func (f *Forwarder) State() map[string][]routing.TargetState {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]routing.TargetState{}
	for name, p := range f.pools {
		out[name] = p.table.State(time.Now())
	}
	return out
}

// pool returns the state of a pool, brought up to the newest registrations. The caller holds mu.
func (f *Forwarder) pool(now time.Time, snap *fleet.Snapshot, name string) *pool {
	p := f.pools[name]
	if p == nil {
		p = &pool{table: routing.NewTable(routing.Options{AvailabilityZone: f.az, Rand: f.rand})}
		f.pools[name] = p
	}
	if p.seen == snap {
		return p
	}
	p.seen = snap
	row := config.Pool{Name: name}
	byAddr := map[string]*fleet.Instance{}
	for _, in := range snap.Pool(name) {
		if old := p.byAddr[in.Address]; old != nil && old.Key() != in.Key() {
			p.table.Forget(in.Address)
		}
		row.Targets = append(row.Targets, in.Target)
		byAddr[in.Address] = in
	}
	p.byAddr = byAddr
	p.table.Update(now, &row, nil)
	for _, in := range byAddr {
		p.table.Report(now, in.Address, trial.Load{BatchLimit: in.Slots})
	}
	return p
}

func refuse(status int, reason string, after time.Duration) *Reply {
	return &Reply{Status: status, RetryAfter: after, Reason: reason}
}

// Serve returns the answer to a request. It returns when the answer is known, at once where the
// request cannot be served.
func (f *Forwarder) Serve(ctx context.Context, req *Request) *Reply {
	snap := f.view.Get()
	if snap.Tables == nil {
		return f.unrouted(req, 0, refuse(http.StatusServiceUnavailable, "no configuration is known yet", configRetryAfter))
	}
	route := snap.Tables.Match(req.Host, req.Path)
	if route == nil {
		return f.unrouted(req, snap.Tables.Version, refuse(http.StatusNotFound, "no route has this host and path", 0))
	}
	budget := req.Budget
	if budget <= 0 {
		budget = defaultBudget
	}
	if t := route.Timeout(); t > 0 && !route.Streaming {
		budget = min(budget, t)
	}
	f.mu.Lock()
	poolName := route.PoolFor(f.rand.Float64())
	f.mu.Unlock()
	r := &run{
		f: f, req: req, route: route, poolName: poolName, began: time.Now(),
		outcomes: make(chan outcome, route.MaxAttempts+extraSends+1),
	}
	r.deadline = r.began.Add(budget)
	reply := r.serve(ctx)
	f.requests.Add(strconv.Itoa(reply.Status), 1)
	f.seconds.Observe(time.Since(r.began))
	f.log.Info("request", "id", req.ID, "route", route.Name, "tables", snap.Tables.Version, "pool", poolName, "status", reply.Status,
		"sends", r.sends, "target", r.last, "ms", time.Since(r.began).Milliseconds(), "reason", reply.Reason)
	return reply
}

// unrouted notes the refusal of a request that has no route.
func (f *Forwarder) unrouted(req *Request, tables int64, reply *Reply) *Reply {
	f.requests.Add(strconv.Itoa(reply.Status), 1)
	f.log.Info("request", "id", req.ID, "route", "", "tables", tables, "pool", "", "status", reply.Status, "sends", 0, "target", "", "ms", 0,
		"reason", reply.Reason)
	return reply
}
