// Package forward forwards single requests to the targets of their route's pool. It selects targets by load and
// availability zone, retries requests where that is safe, hedges idempotent requests that are slow for their
// latency objective, and returns exactly one complete answer. It is built for targets that crash, become slow or
// lose answers under continuous load.
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
	"github.com/ibistrail/ibistrail/crashes"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/origins"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/ratelimit"
	"github.com/ibistrail/ibistrail/routing"
	"github.com/ibistrail/ibistrail/shedding"
	"github.com/ibistrail/ibistrail/targets"
	"github.com/ibistrail/ibistrail/targetstate"
	"github.com/ibistrail/ibistrail/trial"
)

// Limits and timing of a request.
const (
	// noTargetRetryAfter is the Retry-After of a refusal when no target can take the request. It is about the
	// time in which an overloaded target processes part of its queue.
	noTargetRetryAfter = 200 * time.Millisecond
	// minLimitRetryAfter is the shortest Retry-After of a refusal because of rate limits. Other requests compete for the next permit.
	minLimitRetryAfter = 50 * time.Millisecond
	// unknownOriginRetryAfter is the Retry-After of a request that resumes a stream whose origin is not known: another VM may know it.
	unknownOriginRetryAfter = 100 * time.Millisecond
	// noOriginRetryAfter is the Retry-After of a request that resumes a stream which no target can continue now.
	noOriginRetryAfter = time.Second
	// configRetryAfter is the Retry-After of a refusal before the first configuration is known.
	configRetryAfter = 500 * time.Millisecond
	// defaultTimeout bounds a request if neither the request nor its route has a timeout.
	defaultTimeout = 30 * time.Second
	// hedgeFraction is the fraction of the latency objective after which an idempotent request is hedged.
	hedgeFraction = 0.5
	// minHedgeDelay prevents hedges where the objective is shorter than the time of a normal answer.
	minHedgeDelay = 50 * time.Millisecond
	// hedgeRetryInterval is the time after which a copy is tried again if no target had room for it.
	hedgeRetryInterval = 25 * time.Millisecond
	// maxExtraSends is how many sends a request may have beyond its route's attempts, as long as targets report
	// that they did not run it.
	maxExtraSends = 4
	// permitWaitFraction is the fraction of the latency objective for which a caller's request may wait for targets at their rate
	// limits, so that enough time is left to try again after a refusal.
	permitWaitFraction = 0.25
	// maxPermitPause is how long a request waits before it looks for a target again: one without a rate limit may have room earlier.
	maxPermitPause = 60 * time.Millisecond
	// backgroundPermitWait is how long a background request may wait for them.
	backgroundPermitWait = time.Second
	// minTargetsToIsolate is the smallest pool in which a suspect gets a target for itself.
	minTargetsToIsolate = 3
)

// Request is a caller's request.
type Request struct {
	ID        string
	Method    string
	Host      string
	Path, URI string
	Header    http.Header
	Body      []byte
	// Organisation is the name of the caller's organisation; empty if it has none.
	Organisation string
	// Priority is that of the caller's organisation, or that of the route if the organisation has none.
	Priority config.Priority
	// Budget is how long the caller waits for the answer; 0 if unknown.
	Budget time.Duration
	// Deadline is the time until which targets may work on the request, for requests that are sent again under the same ID
	// after this call: a later try must not get more time than the first one. Zero means until the end of this call.
	Deadline time.Time
	// ResumeAfter is the ID of the last event that the caller received; 0 starts from the first.
	ResumeAfter int64
	// Origin is the ID of the attempt that got the first event of the stream that this request resumes.
	Origin string
	// Background is set for calls that score items. They yield to callers' requests at targets with a rate limit, and are owed like the
	// items, although targets crashed meanwhile. Only the proof of their answer is used: it must be whole, but its body is dropped.
	Background bool
}

// fingerprint identifies the request by its content.
func (r *Request) fingerprint() string {
	return crashes.Fingerprint(r.Method, r.Host, r.URI, r.Header, r.Body)
}

// Reply is the answer to a request: that of a target, or a refusal or error of the VM itself.
type Reply struct {
	Status int
	Header http.Header
	// Body is nil for an empty body. It must be closed.
	Body   io.ReadCloser
	Length int64
	Proof  string
	// RetryAfter is set on refusals: the request has not run and will not run, so the caller may retry after it.
	RetryAfter time.Duration
	// Reason is why the VM answered the request itself; empty for a target's answer.
	Reason string
	// ServerErrors is the number of runs that targets answered with status 500, also if the reply is the VM's own.
	ServerErrors int
}

// Forwarder forwards requests to targets.
type Forwarder struct {
	view    *fleet.View
	client  targets.Client
	crashes *crashes.Register
	limiter *ratelimit.Limiter
	origins *origins.Register
	states  *targetstate.Register
	log     *slog.Logger
	az      string
	usage   UsageCounter
	buffer  bodyBuffer
	// requests counts replies by status, latency is their latency distribution.
	requests *expvar.Map
	// roomWaits counts what became of requests that found no room.
	roomWaits *expvar.Map
	latency   *process.Latency

	mu    sync.Mutex
	rand  *rand.Rand
	pools map[string]*poolState
}

// poolState is the routing state of one pool, guarded by Forwarder.mu.
type poolState struct {
	table    *routing.Table
	snapshot *fleet.Snapshot // the snapshot that table and byAddr reflect
	byAddr   map[string]*fleet.Instance
	// queue orders the requests that wait for room; nil for engines, whose queues order the requests themselves. checking is set while a
	// check of the queue is due.
	queue    *shedding.Queue
	checking bool
}

// Options are the dependencies of a Forwarder.
type Options struct {
	View    *fleet.View
	Client  targets.Client
	Crashes *crashes.Register
	// Limiter, Origins and States may be nil.
	Limiter *ratelimit.Limiter
	Origins *origins.Register
	States  *targetstate.Register
	// Usage counts the requests that targets begin to run; nil counts none.
	Usage UsageCounter
	// AvailabilityZone is that of the VM.
	AvailabilityZone string
	Log              *slog.Logger
	Metrics          *process.Metrics
}

// New returns a Forwarder.
func New(o Options) *Forwarder {
	return &Forwarder{
		view: o.View, client: o.Client, crashes: o.Crashes, limiter: o.Limiter, origins: o.Origins, states: o.States, usage: o.Usage, log: o.Log, az: o.AvailabilityZone, pools: map[string]*poolState{},
		requests: o.Metrics.SubMap("requests"), roomWaits: o.Metrics.SubMap("room_waits"), latency: o.Metrics.Latency("request_seconds"),
		rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// State returns the routing state of the targets by pool, for the state dump.
func (f *Forwarder) State() map[string][]routing.TargetState {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]routing.TargetState{}
	for name, p := range f.pools {
		out[name] = p.table.State(time.Now())
	}
	return out
}

// poolState returns the routing state of a pool, updated to the registrations in snap. The caller holds mu.
func (f *Forwarder) poolState(now time.Time, snap *fleet.Snapshot, name string) *poolState {
	p := f.pools[name]
	if p == nil {
		p = &poolState{table: routing.NewTable(routing.Options{AvailabilityZone: f.az, Rand: f.rand})}
		if row := snap.Tables.Pool(name); row != nil && row.Engine == nil {
			p.queue = shedding.New()
			p.table.SetByTime(true)
		}
		f.pools[name] = p
	}
	if p.snapshot == snap {
		return p
	}
	p.snapshot = snap
	poolConfig := config.Pool{Name: name}
	byAddr := map[string]*fleet.Instance{}
	for _, in := range snap.Pool(name) {
		if previous := p.byAddr[in.Address]; previous != nil && previous.Key() != in.Key() {
			p.table.ClearPrefixes(in.Address)
		}
		poolConfig.Targets = append(poolConfig.Targets, in.Target)
		byAddr[in.Address] = in
	}
	p.byAddr = byAddr
	p.setSlots()
	p.table.Update(now, &poolConfig, nil)
	for _, in := range byAddr {
		if p.queue != nil {
			p.table.SetSlots(now, in.Address, in.Slots)
		} else {
			p.table.RecordLoad(now, in.Address, trial.Load{BatchLimit: in.Slots})
		}
	}
	return p
}

func refusal(status int, reason string, retryAfter time.Duration) *Reply {
	return &Reply{Status: status, RetryAfter: retryAfter, Reason: reason}
}

// noTablesReply returns the refusal of a request while no tables are known.
func noTablesReply() *Reply {
	return refusal(http.StatusServiceUnavailable, "no configuration is known yet", configRetryAfter)
}

// Serve forwards a request and returns the answer. It refuses a request at once if there is no configuration,
// no matching route or no target, or if the request crashes the targets that run it.
func (f *Forwarder) Serve(ctx context.Context, req *Request) *Reply {
	snap := f.view.Get()
	if snap.Tables == nil {
		return f.recordUnrouted(req, 0, noTablesReply())
	}
	route := snap.Tables.Match(req.Host, req.Path)
	if route == nil {
		return f.recordUnrouted(req, snap.Tables.Version, refusal(http.StatusNotFound, "no route has this host and path", 0))
	}
	timeout := req.Budget
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if t := route.Timeout(); t > 0 && !route.Streaming {
		timeout = min(timeout, t)
	}
	f.mu.Lock()
	poolName := route.PoolFor(f.rand.Float64())
	f.mu.Unlock()
	d := &delivery{
		f: f, req: req, fingerprint: req.fingerprint(), route: route, poolName: poolName, startedAt: time.Now(),
		outcomes: make(chan outcome, route.MaxAttempts+maxExtraSends+1),
	}
	d.deadline = d.startedAt.Add(timeout)
	d.usage = usageEntry{counter: f.usage, organisation: req.Organisation}
	if req.Background || req.ResumeAfter > 0 { // a resumed stream was counted when it began
		d.usage.counter = nil
	}
	reply := d.resume(ctx)
	if reply == nil {
		reply = d.serve(ctx)
	}
	f.requests.Add(strconv.Itoa(reply.Status), 1)
	f.latency.Observe(time.Since(d.startedAt))
	attrs := []any{
		"id", req.ID, "route", route.Name, "tables", snap.Tables.Version, "pool", d.poolName, "organisation", req.Organisation, "status", reply.Status,
		"sends", d.sends, "target", d.lastTarget, "via", d.via, "ms", time.Since(d.startedAt).Milliseconds(), "reason", reply.Reason,
	}
	if c := d.choice; c.expected > 0 {
		attrs = append(attrs, "expected_ms", c.expected.Milliseconds(), "work_percent", c.workPercent, "work_age_ms", c.workAge.Milliseconds())
	}
	f.log.Info("request", attrs...)
	return reply
}

// recordUnrouted counts and logs the refusal of a request that has no route.
func (f *Forwarder) recordUnrouted(req *Request, tablesVersion int64, reply *Reply) *Reply {
	f.requests.Add(strconv.Itoa(reply.Status), 1)
	f.log.Info("request", "id", req.ID, "route", "", "tables", tablesVersion, "pool", "", "status", reply.Status, "sends", 0, "target", "", "ms", 0,
		"reason", reply.Reason)
	return reply
}
