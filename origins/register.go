// Package origins tells, at each VM, which software version of a pool's targets began a stream, so that the stream is
// continued at that version only. A record in the store holds the versions of each pool that may have begun streams. While that is
// one version, nothing else needs to be exchanged. Otherwise the VM at which a stream begins hands its origin over to a few VMs,
// which follow from the ID of the client's attempt, and appends it to the store, so that it outlives all VMs.
package origins

import (
	"cmp"
	"context"
	"expvar"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
	"github.com/ibistrail/ibistrail/wire"
)

const (
	// zoneHolders and otherHolders are the numbers of VMs that hold an origin, in the zone of the VM at which the stream began, where
	// its client usually comes again, and in the whole deployment.
	zoneHolders  = 2
	otherHolders = 2
	// recordDelay is how long origins are collected before they are handed over together.
	recordDelay = 10 * time.Millisecond
	// callTimeout bounds a call to another VM.
	callTimeout = 300 * time.Millisecond
	// defaultStreamTime is how long clients are assumed to take up streams of a route without a timeout.
	defaultStreamTime = time.Minute
	// streamTimeFactor is the multiple of a route's timeout after which no client takes a stream up any more.
	streamTimeFactor = 2
	// maxUnrecorded limits the origins that wait to be handed over to one VM; further ones are dropped.
	maxUnrecorded = 10_000
)

// Options configure a Register.
type Options struct {
	Self fleet.VM
	View *fleet.View
	// Store holds the record of the pools' software versions, in the compacted topic SoftwareTopic, and the origins of streams of pools with
	// several versions.
	Store         store.Log
	SoftwareTopic string
	// FirstStart is set if the deployment starts for the first time, so that no stream can have begun before.
	FirstStart bool
	// BootTime returns the time since boot, including time during which the VM was suspended.
	BootTime func() time.Duration
	// Call calls a method of another VM.
	Call    func(ctx context.Context, address, method string, params, result any) error
	Log     *slog.Logger
	Metrics *process.Metrics
}

// Register holds origins of streams. It is safe for concurrent use.
type Register struct {
	opts   Options
	events *expvar.Map

	mu    sync.Mutex
	table *table
	vms   []fleet.VM // including this one
	// pools are those with routes for resumable streams.
	pools map[string]*poolSoftware
	// following is set once this VM follows the record, complete once it has read it to its end.
	following, complete bool
	// readAt is the boot time at which the newest complete read of the record began; next is the offset after the records that were read.
	readAt  time.Duration
	next    int64
	changed chan struct{} // the record or the targets have changed
	saved   savedOrigins
	// unrecorded are origins to be handed over, by the address of the VM; flushing is set while a flush is pending.
	unrecorded map[string][]wire.Origin
	flushing   bool
}

// New returns an empty register.
func New(o Options) *Register {
	return &Register{
		opts: o, events: o.Metrics.SubMap("stream_origins"), table: newTable(), vms: []fleet.VM{o.Self}, pools: map[string]*poolSoftware{},
		unrecorded: map[string][]wire.Origin{}, changed: make(chan struct{}, 1),
	}
}

// Run follows the registered targets until ctx ends.
func (r *Register) Run(ctx context.Context) {
	r.opts.View.Follow(ctx, func(snap *fleet.Snapshot) {
		if r.update(time.Now(), snap) {
			go r.followRecord(ctx)
			go r.maintainRecord(ctx)
		}
	})
}

// update applies a new view. It returns true for the first view with a route for resumable streams.
func (r *Register) update(now time.Time, snap *fleet.Snapshot) (first bool) {
	if snap.Tables == nil {
		return false
	}
	streamTimes := streamTimesByPool(snap.Tables)
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, streamTime := range streamTimes {
		p := r.pool(name)
		p.streamTime = streamTime
		if p.observe(now, snap.Pool(name)) {
			if len(p.registered) > 1 {
				r.opts.Log.Info("software_mixed", "pool", name, "versions", p.registered)
			}
			r.handOver(now, name, p)
		}
	}
	process.Notify(r.changed)
	first = len(streamTimes) > 0 && !r.following
	r.following = r.following || first
	return first
}

// pool returns the state of a pool. The caller holds the lock.
func (r *Register) pool(name string) *poolSoftware {
	p := r.pools[name]
	if p == nil {
		p = newPoolSoftware()
		r.pools[name] = p
	}
	return p
}

// streamTimesByPool returns how long streams may be taken up, by pool, for the pools with routes for resumable streams.
func streamTimesByPool(t *fleet.Tables) map[string]time.Duration {
	out := map[string]time.Duration{}
	for i := range t.Routes {
		route := &t.Routes[i]
		if !route.Streaming || !route.Resumable {
			continue
		}
		for j := range t.Pools {
			if name := t.Pools[j].Name; route.UsesPool(name) {
				out[name] = max(out[name], streamTime(route))
			}
		}
	}
	return out
}

// reliable reports whether the record of a pool's versions tells which of them may have begun streams. The caller holds the lock.
func (r *Register) reliable() bool {
	return r.complete && r.opts.BootTime()-r.readAt <= freshness
}

// uniform reports whether all streams of a pool that may be taken up began at the one version of its targets. The caller holds the lock.
func (r *Register) uniform(pool string) bool {
	p := r.pools[pool]
	return p != nil && r.reliable() && p.uniform(pool)
}

// handOver hands the origins of this VM's streams in a pool over once other VMs may need them. The caller holds the lock.
func (r *Register) handOver(now time.Time, name string, p *poolSoftware) {
	wasHandedOver := p.handedOver
	if p.handedOver = !r.uniform(name); wasHandedOver || !p.handedOver {
		return
	}
	for _, o := range r.table.ownOfPool(now, name) {
		r.queue(o)
	}
}

// MayBegin reports whether a resumable stream may begin at a target. If not, a target of the pool with another version may be used.
func (r *Register) MayBegin(in *fleet.Instance) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[in.Pool]
	return p == nil || p.mayBegin(time.Now(), r.reliable(), in.Pool, in.SoftwareVersion)
}

// SetVMs replaces the announced VMs.
func (r *Register) SetVMs(vms []fleet.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms = []fleet.VM{r.opts.Self}
	for _, vm := range vms {
		if vm.Name != r.opts.Self.Name && vm.RPCAddress != "" {
			r.vms = append(r.vms, vm)
		}
	}
}

// Begin records that a target has sent the first event of a stream.
func (r *Register) Begin(id string, in *fleet.Instance) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o := wire.Origin{ID: id, Pool: in.Pool, Software: in.SoftwareVersion}
	r.table.addOwn(time.Now(), o)
	if !r.uniform(in.Pool) {
		r.queue(o)
	}
}

// Find returns the origin of a stream on a route. If it is not known but all streams of the route began at the version that its targets have,
// that is the origin; otherwise ok is false. An origin without a version means that any target may continue the stream.
func (r *Register) Find(ctx context.Context, route *fleet.Route, id string) (origin wire.Origin, ok bool) {
	if r == nil {
		return wire.Origin{Pool: route.Pool}, true
	}
	now := time.Now()
	r.mu.Lock()
	o, known := r.table.find(now, id)
	uniform := len(route.Split) <= 1 && r.uniform(route.Pool)
	if uniform && !known {
		o = wire.Origin{ID: id, Pool: route.Pool, Software: r.pools[route.Pool].registered[0]}
	}
	holders := r.holders(id)
	r.mu.Unlock()
	switch {
	case known || uniform:
		return o, true
	case id == "":
		return wire.Origin{}, false
	}
	if o, known = r.lookUp(ctx, holders, id); known {
		return o, true
	}
	r.events.Add("unknown", 1)
	return wire.Origin{}, false
}

// lookUp asks other VMs and the store for an origin, all at once.
func (r *Register) lookUp(ctx context.Context, holders []fleet.VM, id string) (wire.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	type answer struct {
		origin wire.Origin
		known  bool
		source string
	}
	answers := make(chan answer, 2)
	go func() {
		o, known := r.askHolders(ctx, holders, id)
		answers <- answer{o, known, "found"}
	}()
	go func() {
		o, known := r.findSaved(ctx, id)
		answers <- answer{o, known, "found_in_store"}
	}()
	for range cap(answers) {
		if a := <-answers; a.known {
			r.events.Add(a.source, 1)
			return a.origin, true
		}
	}
	return wire.Origin{}, false
}

// streamTime returns how long after its first event a client may take a stream up.
func streamTime(route *fleet.Route) time.Duration {
	if t := route.Timeout(); t > 0 {
		return streamTimeFactor * t
	}
	return defaultStreamTime
}

// askHolders asks the holders of an origin and returns the first answer.
func (r *Register) askHolders(ctx context.Context, holders []fleet.VM, id string) (wire.Origin, bool) {
	found := make(chan *wire.Origin, len(holders))
	for _, vm := range holders {
		go func() {
			var res wire.FindOriginResult
			if err := r.opts.Call(ctx, vm.RPCAddress, wire.MethodFindOrigin, wire.FindOriginParams{ID: id}, &res); err != nil {
				r.events.Add("unanswered", 1)
			}
			found <- res.Origin
		}()
	}
	for range holders {
		if o := <-found; o != nil {
			return *o, true
		}
	}
	return wire.Origin{}, false
}

// holders returns the other VMs that hold an origin. The caller holds the lock.
func (r *Register) holders(id string) []fleet.VM {
	ranked := slices.SortedFunc(slices.Values(r.vms), func(a, b fleet.VM) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name+"/"+id), xxhash.Sum64String(b.Name+"/"+id)), cmp.Compare(a.Name, b.Name))
	})
	var out []fleet.VM
	inZone, anywhere := 0, 0
	for _, vm := range ranked {
		chosen := false
		if anywhere < otherHolders {
			anywhere++
			chosen = true
		}
		if vm.AvailabilityZone == r.opts.Self.AvailabilityZone && inZone < zoneHolders {
			inZone++
			chosen = true
		}
		if chosen && vm.Name != r.opts.Self.Name {
			out = append(out, vm)
		}
	}
	return out
}

// queue queues an origin for its holders and for the store. The caller holds the lock.
func (r *Register) queue(o wire.Origin) {
	r.save(o)
	for _, vm := range r.holders(o.ID) {
		if len(r.unrecorded[vm.RPCAddress]) >= maxUnrecorded {
			r.events.Add("dropped", 1)
			continue
		}
		r.unrecorded[vm.RPCAddress] = append(r.unrecorded[vm.RPCAddress], o)
	}
	if !r.flushing && len(r.unrecorded) > 0 {
		r.flushing = true
		time.AfterFunc(recordDelay, r.flush)
	}
}

// flush hands the queued origins over.
func (r *Register) flush() {
	r.mu.Lock()
	queued := r.unrecorded
	r.unrecorded, r.flushing = map[string][]wire.Origin{}, false
	r.mu.Unlock()
	for address, origins := range queued {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			// Without the origin a holder can't tell it, and the client's next attempt asks the others.
			if err := r.opts.Call(ctx, address, wire.MethodRecordOrigins, wire.RecordOriginsParams{Origins: origins}, nil); err != nil {
				r.events.Add("unrecorded", int64(len(origins)))
				return
			}
			r.events.Add("recorded", int64(len(origins)))
		}()
	}
}

// HandleRecord records the origins of streams that began at another VM.
func (r *Register) HandleRecord(_ context.Context, p wire.RecordOriginsParams) (wire.Empty, error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range p.Origins {
		r.table.add(now, o)
	}
	return wire.Empty{}, nil
}

// HandleFind returns the origin of a stream, if this VM knows it.
func (r *Register) HandleFind(_ context.Context, p wire.FindOriginParams) (wire.FindOriginResult, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o, ok := r.table.find(time.Now(), p.ID); ok {
		return wire.FindOriginResult{Origin: &o}, nil
	}
	return wire.FindOriginResult{}, nil
}
