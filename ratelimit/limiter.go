// Package ratelimit keeps the VMs together within the rate limits that targets name. One VM coordinates each limited target
// and grants permits for requests to it; the others ask it before each request. Which one follows from the announcements of
// the VMs, so there is nothing to elect or store.
package ratelimit

import (
	"context"
	"expvar"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/targetstate"
	"github.com/ibistrail/ibistrail/wire"
)

// Times of the exchange between VMs.
const (
	// askTimeout bounds a call to another VM, passOnTimeout the calls that the other VM makes for it.
	askTimeout    = 250 * time.Millisecond
	passOnTimeout = 100 * time.Millisecond
	// maxHops is the number of times that a request for permits is passed on.
	maxHops = 2
	// checkInterval is the time between two checks whether a VM that did not answer does so again.
	checkInterval = 500 * time.Millisecond
	// joinDelay is how long after its announcement a VM leaves its targets to the VMs that coordinated them before: until then
	// not all others may have read the announcement, and two VMs would grant the limit.
	joinDelay = 5 * time.Second
	// permitTTL is how long a permit may be used after it was granted.
	permitTTL = 250 * time.Millisecond
	// maxFetch is the maximum number of permits that are asked for in one call.
	maxFetch = 8
	// unknownRetryAfter is the retry delay while no VM is known to coordinate a target.
	unknownRetryAfter = time.Second
)

// Options configure a Limiter.
type Options struct {
	// Self is this VM.
	Self     fleet.VM
	Register *targetstate.Register
	// Call calls a method of another VM.
	Call    func(ctx context.Context, address, method string, params, result any) error
	Log     *slog.Logger
	Metrics *process.Metrics
	// Alone is set if there are no other VMs, or none that share permits.
	Alone bool
	// Now and Go are replaced in tests; nil means the system's clock and a new goroutine.
	Now func() time.Time
	Go  func(func())
}

// Limiter decides whether this VM may send a request to a target. It is safe for concurrent use. A nil Limiter permits
// everything.
type Limiter struct {
	opts   Options
	events *expvar.Map

	mu  sync.Mutex
	vms []fleet.VM // including this one
	// joinedAt is when this VM's announcement was read; zero before.
	joinedAt time.Time
	// founder is set if no other VM was known then, so that there is none to take over from.
	founder  bool
	stopping bool
	// granted paces the targets that this VM coordinates, shares this VM's equal share of the limit of those whose coordinators
	// do not answer.
	granted, shares buckets
	states          map[fleet.Key]*targetPermits
	health          map[string]*vmHealth // by VM
	onPermit        []func()
}

// targetPermits is the state of this VM's own requests to a limited target.
type targetPermits struct {
	coordinators []fleet.VM // nil if not determined yet
	permits      []time.Time
	// deniedUntil is until when no permits are expected, for callers' and for background requests.
	deniedUntil [2]time.Time
	// fetch is closed when the pending call for permits ends; nil if there is none.
	fetch chan struct{}
	// waiting counts the requests that wait for fetch.
	waiting int
	usedAt  time.Time
}

// vmHealth is the state of a VM that did not answer.
type vmHealth struct {
	checkedAt time.Time
	checking  bool
}

// New returns a Limiter that knows only this VM.
func New(o Options) *Limiter {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Go == nil {
		o.Go = func(f func()) { go f() }
	}
	return &Limiter{
		opts: o, events: o.Metrics.SubMap("target_permits"), vms: withSelf(nil, o), granted: buckets{}, shares: buckets{},
		states: map[fleet.Key]*targetPermits{}, health: map[string]*vmHealth{},
	}
}

// withSelf adds this VM to others, unless the other VMs could not ask it.
func withSelf(others []fleet.VM, o Options) []fleet.VM {
	if o.Self.RPCAddress == "" && !o.Alone {
		return others
	}
	return append([]fleet.VM{o.Self}, others...)
}

// OnPermit registers f to be called when permits that TryAcquire asked for have arrived.
func (l *Limiter) OnPermit(f func()) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onPermit = append(l.onPermit, f)
}

// SetVMs replaces the announced VMs.
func (l *Limiter) SetVMs(vms []fleet.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	announced := false
	var others []fleet.VM
	for _, vm := range vms {
		if vm.Name == l.opts.Self.Name {
			announced = true
		} else if vm.RPCAddress != "" {
			others = append(others, vm)
		}
	}
	l.vms = withSelf(others, l.opts)
	if announced && l.joinedAt.IsZero() {
		l.joinedAt, l.founder = l.opts.Now(), len(others) == 0
	}
	for _, s := range l.states {
		s.coordinators = nil
	}
	for name := range l.health {
		if !slices.ContainsFunc(l.vms, func(vm fleet.VM) bool { return vm.Name == name }) {
			delete(l.health, name)
		}
	}
}

// Stop ends the coordination by this VM, at the start of a planned stop. It still passes requests on to the next coordinator.
func (l *Limiter) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
}

// coordinates reports whether this VM may coordinate targets. The caller holds the lock.
func (l *Limiter) coordinates(now time.Time) bool {
	if l.stopping {
		return false
	}
	return l.opts.Alone || l.founder || !l.joinedAt.IsZero() && now.Sub(l.joinedAt) >= joinDelay
}

// Limited reports whether a target has named a limit.
func (l *Limiter) Limited(in *fleet.Instance) bool {
	if l == nil {
		return false
	}
	_, ok := l.opts.Register.RateLimit(in)
	return ok
}

// Acquire reports whether one request may be sent to a target now. It may ask another VM. If it returns false, retryAfter
// is the time until a permit may be available.
func (l *Limiter) Acquire(ctx context.Context, in *fleet.Instance, background bool) (ok bool, retryAfter time.Duration) {
	for {
		ok, retryAfter, fetch := l.tryAcquire(in, background, 1, true)
		if ok || fetch == nil {
			return ok, retryAfter
		}
		select {
		case <-fetch:
		case <-ctx.Done():
			return false, 0
		}
	}
}

// TryAcquire reports whether one request may be sent to a target now, without waiting. If it returns false, up to want permits are asked
// for, and the functions of OnPermit are called when they arrive.
func (l *Limiter) TryAcquire(in *fleet.Instance, background bool, want int) bool {
	ok, _, _ := l.tryAcquire(in, background, want, false)
	return ok
}

// tryAcquire takes a permit. If there is none and some may be granted, it starts to fetch up to want, or joins the requests
// that wait for a pending fetch, and returns the channel that is closed at the end of the fetch.
func (l *Limiter) tryAcquire(in *fleet.Instance, background bool, want int, waits bool) (ok bool, retryAfter time.Duration, fetch <-chan struct{}) {
	if l == nil {
		return true, 0, nil
	}
	limit, limited := l.opts.Register.RateLimit(in)
	if !limited {
		return true, 0, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	s := l.state(now, in.Key(), in.AvailabilityZone)
	for len(s.permits) > 0 {
		expires := s.permits[len(s.permits)-1]
		s.permits = s.permits[:len(s.permits)-1]
		if now.Before(expires) {
			return true, 0, nil
		}
	}
	if wait := s.deniedUntil[classIndex(background)].Sub(now); wait > 0 {
		return false, wait, nil
	}
	p := wire.PermitsParams{
		Target: in.Name, StartedMs: in.StartedMs, AvailabilityZone: in.AvailabilityZone, PerSecond: limit.PerSecond,
		StatedMsAgo: now.Sub(limit.StatedAt).Milliseconds(), Background: background, Count: want,
	}
	if l.isFirst(now, s) { // needs no call
		p.Count = 1
		r := takeFrom(l.granted, now, p)
		l.recordDenial(now, s, p, r)
		return r.Granted > 0, time.Duration(r.RetryAfterMs) * time.Millisecond, nil
	}
	if waits {
		s.waiting++
	}
	if s.fetch == nil {
		done := make(chan struct{})
		s.fetch = done
		l.opts.Go(func() { l.fetch(in, s, p, done) })
		return false, 0, done
	}
	return false, 0, s.fetch
}

func classIndex(background bool) int {
	if background {
		return 1
	}
	return 0
}

// state returns the state of a target, with its coordinators. The caller holds the lock.
func (l *Limiter) state(now time.Time, target fleet.Key, az string) *targetPermits {
	s := l.states[target]
	if s == nil {
		for k, old := range l.states {
			if now.Sub(old.usedAt) > bucketTTL && old.fetch == nil {
				delete(l.states, k)
			}
		}
		s = &targetPermits{}
		l.states[target] = s
	}
	s.usedAt = now
	if s.coordinators == nil {
		s.coordinators = coordinators(l.vms, target, az)
	}
	return s
}

// isFirst reports whether this VM is the first coordinator of a target that answers. The caller holds the lock.
func (l *Limiter) isFirst(now time.Time, s *targetPermits) bool {
	for _, vm := range s.coordinators {
		if vm.Name != l.opts.Self.Name && l.answers(now, vm) {
			return false
		}
		if vm.Name == l.opts.Self.Name && l.coordinates(now) {
			return true
		}
	}
	return false
}

// fetch asks the coordinators for permits and distributes them.
func (l *Limiter) fetch(in *fleet.Instance, s *targetPermits, p wire.PermitsParams, done chan struct{}) {
	l.mu.Lock()
	p.Count = min(maxFetch, max(p.Count, s.waiting))
	l.mu.Unlock()
	r := l.ask(context.Background(), p)
	l.mu.Lock()
	now := l.opts.Now()
	if r.Declined {
		r = l.grantShare(now, p)
	}
	for range r.Granted {
		s.permits = append(s.permits, now.Add(permitTTL))
	}
	l.recordDenial(now, s, p, r)
	s.fetch, s.waiting = nil, 0
	notify := l.onPermit
	l.mu.Unlock()
	close(done)
	if r.Granted > 0 {
		for _, f := range notify {
			f()
		}
	}
}

// recordDenial records that fewer permits were granted than wanted. The caller holds the lock.
func (l *Limiter) recordDenial(now time.Time, s *targetPermits, p wire.PermitsParams, r wire.PermitsResult) {
	l.events.Add("granted", int64(r.Granted))
	if r.Granted >= p.Count {
		return
	}
	l.events.Add("denied", int64(p.Count-r.Granted))
	s.deniedUntil[classIndex(p.Background)] = now.Add(max(time.Millisecond, time.Duration(r.RetryAfterMs)*time.Millisecond))
}

// Handle grants permits to another VM.
func (l *Limiter) Handle(ctx context.Context, p wire.PermitsParams) (wire.PermitsResult, error) {
	if p.Count <= 0 {
		return wire.PermitsResult{}, nil
	}
	p.Count, p.Hops = min(maxFetch, p.Count), p.Hops+1
	return l.ask(ctx, p), nil
}

// ask asks the coordinators of a target in their order until one grants or denies permits. This VM is one of them only while it
// coordinates. A VM that is asked asks those before itself first, so that a coordinator which only some VMs can reach stays
// the only one.
func (l *Limiter) ask(ctx context.Context, p wire.PermitsParams) wire.PermitsResult {
	askedAt := l.opts.Now()
	stated := p.StatedMsAgo
	l.mu.Lock()
	candidates := l.state(askedAt, fleet.Key{ID: p.Target, StartedMs: p.StartedMs}, p.AvailabilityZone).coordinators
	l.mu.Unlock()
	for _, vm := range candidates {
		now := l.opts.Now()
		p.StatedMsAgo = stated + now.Sub(askedAt).Milliseconds()
		l.mu.Lock()
		switch {
		case slices.Contains(p.Declined, vm.Name):
		case vm.Name != l.opts.Self.Name && p.Hops < maxHops && l.answers(now, vm):
			l.mu.Unlock()
			r, err := l.call(ctx, vm, p)
			if err == nil && !r.Declined {
				return r
			}
			l.mu.Lock()
			if err == nil {
				p.Declined = append(slices.Clone(p.Declined), vm.Name)
			} else if ctx.Err() == nil {
				l.recordUnanswered(vm, err)
			}
		case vm.Name == l.opts.Self.Name && l.coordinates(now):
			r := takeFrom(l.granted, now, p)
			l.mu.Unlock()
			return r
		case vm.Name == l.opts.Self.Name:
			p.Declined = append(slices.Clone(p.Declined), vm.Name)
		}
		l.mu.Unlock()
	}
	return wire.PermitsResult{Declined: true}
}

// call asks another VM for permits.
func (l *Limiter) call(ctx context.Context, vm fleet.VM, p wire.PermitsParams) (wire.PermitsResult, error) {
	timeout := askTimeout
	if p.Hops > 0 {
		timeout = passOnTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var r wire.PermitsResult
	err := l.opts.Call(ctx, vm.RPCAddress, wire.MethodPermits, p, &r)
	return r, err
}

// grantShare takes permits from this VM's equal share of a limit whose coordinators do not answer. The caller holds the lock.
func (l *Limiter) grantShare(now time.Time, p wire.PermitsParams) wire.PermitsResult {
	l.events.Add("shared", 1)
	key := fleet.Key{ID: p.Target, StartedMs: p.StartedMs}
	share := max(minPerSecond, p.PerSecond) / float64(len(l.vms))
	s := l.shares[key]
	if s == nil {
		s = &bucket{}
		l.shares[key] = s
		// Different VMs begin at different times.
		s.next = now.Add(time.Duration(float64(time.Second) / share * hashFraction(l.opts.Self.Name+"/"+p.Target)))
	}
	s.perSecond, s.usedAt = share, now
	if latest := now.Add(s.interval()); s.next.After(latest) {
		s.next = latest // there were more VMs, or the limit was lower
	}
	if wait := s.next.Sub(now); wait > 0 {
		return wire.PermitsResult{RetryAfterMs: min(wait, unknownRetryAfter).Milliseconds()}
	}
	s.next = now.Add(s.interval())
	return wire.PermitsResult{Granted: 1, RetryAfterMs: unknownRetryAfter.Milliseconds()}
}

// hashFraction returns a number in [0,1) that depends on s only.
func hashFraction(s string) float64 {
	const bits = 53 // those of a float64's mantissa
	return float64(xxhash.Sum64String(s)>>(64-bits)) / (1 << bits)
}

// takeFrom takes permits from a bucket.
func takeFrom(b buckets, now time.Time, p wire.PermitsParams) wire.PermitsResult {
	statedAt := now.Add(-time.Duration(p.StatedMsAgo) * time.Millisecond)
	granted, retryAfter := b.get(now, fleet.Key{ID: p.Target, StartedMs: p.StartedMs}, p.PerSecond, statedAt).take(now, p.Background, p.Count)
	if granted == p.Count {
		return wire.PermitsResult{Granted: granted}
	}
	return wire.PermitsResult{Granted: granted, RetryAfterMs: max(1, retryAfter.Milliseconds())}
}

// answers reports whether a VM is taken to answer. While it does not, it is checked in the background each checkInterval. The
// caller holds the lock.
func (l *Limiter) answers(now time.Time, vm fleet.VM) bool {
	h := l.health[vm.Name]
	if h == nil {
		return true
	}
	if !h.checking && now.Sub(h.checkedAt) >= checkInterval {
		h.checking, h.checkedAt = true, now
		l.opts.Go(func() { l.check(vm, h) })
	}
	return false
}

// check asks a VM that did not answer for nothing, and takes it up again if it answers.
func (l *Limiter) check(vm fleet.VM, h *vmHealth) {
	ctx, cancel := context.WithTimeout(context.Background(), checkInterval)
	err := l.opts.Call(ctx, vm.RPCAddress, wire.MethodPermits, wire.PermitsParams{}, nil)
	cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	h.checking = false
	if err == nil && l.health[vm.Name] == h {
		delete(l.health, vm.Name)
		l.opts.Log.Info("limit_coordinator", "vm", vm.Name, "outcome", "regained")
	}
}

// recordUnanswered records that a VM did not answer. The caller holds the lock.
func (l *Limiter) recordUnanswered(vm fleet.VM, err error) {
	if l.health[vm.Name] == nil {
		l.health[vm.Name] = &vmHealth{checkedAt: l.opts.Now()}
		l.opts.Log.Warn("limit_coordinator", "vm", vm.Name, "outcome", "lost", "err", err)
	}
}
