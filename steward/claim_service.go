package steward

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/claims"
	"github.com/ibistrail/ibistrail/logtail"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
	"golang.org/x/sync/errgroup"
)

// Periods and limits of claims.
const (
	// claimsPeriod is the maximum time between two steps; a new claim triggers one at once.
	claimsPeriod = 200 * time.Millisecond
	// followersPerZone is how many nodes of a zone follow the claims stream.
	followersPerZone = 2
	// claimFollowDelay is how long a node must be among the followers before it follows the stream: a node
	// that has just started does not know the other nodes yet.
	claimFollowDelay = 3 * time.Second
	// claimRelayWait is the maximum time of a follower's long poll at the relay of its zone. It is shorter
	// than the default, so that the second follower of a zone stays up to date.
	claimRelayWait = time.Second
	// claimAttemptTimeout bounds the wait for a decision from one node.
	claimAttemptTimeout = 2 * time.Second
	// claimAppendTimeout bounds one append of claims.
	claimAppendTimeout = time.Second
	// DefaultClaimTimeout and MaxClaimTimeout are the default and the upper limit of the whole wait for a
	// decision, over all nodes that are asked.
	DefaultClaimTimeout = 5 * time.Second
	MaxClaimTimeout     = 30 * time.Second
	// claimRetryAfter is the retry delay that is returned with a claim that could not be decided.
	claimRetryAfter = 2 * time.Second
	// claimFailGrace is how long a claim may wait for its read-back while appends fail.
	claimFailGrace = time.Second
)

// claimService decides claims. The first nodes of each zone follow the claims stream and decide locally; the
// other nodes forward claims to them.
type claimService struct {
	steward *Steward

	// cachedFollowers are the followers at the membership version cachedVersion.
	cacheMu         sync.Mutex
	cachedFollowers []wire.Node
	cachedVersion   uint64

	mu            sync.Mutex
	relay         *claims.Relay // nil until this node follows the stream
	tail          *logtail.Tail
	waiters       map[string][]*claimWaiter
	appending     bool
	wake          chan struct{}
	eligibleSince time.Time // when this node became one of the followers
}

// claimWaiter is a call that waits for the decision on its claim.
type claimWaiter struct {
	done      chan claimOutcome
	startedAt time.Time
}

type claimOutcome struct {
	result *wire.ClaimResult
	err    error
}

func newClaimService(steward *Steward) *claimService {
	return &claimService{steward: steward, waiters: map[string][]*claimWaiter{}, wake: make(chan struct{}, 1)}
}

// Next implements logtail.Consumer.
func (c *claimService) Next() trial.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay.Next()
}

// SetFirstRetained implements logtail.Consumer.
func (c *claimService) SetFirstRetained(_ time.Time, first trial.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relay.SetFirstRetained(first)
}

// CaughtUp implements logtail.Consumer.
func (c *claimService) CaughtUp(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relay.CaughtUp(at)
}

// Apply implements logtail.Consumer. It completes the calls whose claims the record decides.
func (c *claimService) Apply(now time.Time, r trial.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.relay.Apply(now, r, c.tail.Retention()) {
		outcome := claimOutcome{result: d.Holder}
		if d.Holder == nil {
			outcome.err = claims.ErrTableFull
		}
		c.complete(d.ClaimID, outcome)
	}
}

// complete sends the outcome to all calls that wait for a claim. The caller holds mu.
func (c *claimService) complete(claimID string, outcome claimOutcome) {
	for _, w := range c.waiters[claimID] {
		w.done <- outcome // does not block: the channel has room for the only outcome
	}
	delete(c.waiters, claimID)
}

// followers returns the nodes that follow the stream, sorted by zone; the first of each zone is its relay.
func (c *claimService) followers() []wire.Node {
	version := c.steward.gossip.version()
	c.cacheMu.Lock()
	defer c.cacheMu.Unlock()
	if c.cachedVersion != version || c.cachedFollowers == nil {
		c.cachedFollowers, c.cachedVersion = followersOf(c.steward.gossip.Alive()), version
	}
	return c.cachedFollowers
}

// followersOf returns the first followersPerZone nodes of each zone. It sorts live.
func followersOf(live []wire.Node) []wire.Node {
	slices.SortFunc(live, func(a, b wire.Node) int {
		return cmp.Or(cmp.Compare(a.AvailabilityZone, b.AvailabilityZone), cmp.Compare(a.ID, b.ID))
	})
	var out []wire.Node
	inZone := 0
	for i, node := range live {
		if i == 0 || node.AvailabilityZone != live[i-1].AvailabilityZone {
			inZone = 0
		}
		if inZone++; inZone <= followersPerZone {
			out = append(out, node)
		}
	}
	return out
}

func (c *claimService) run(ctx context.Context) error {
	tick := time.NewTicker(claimsPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-c.wake:
		}
		c.step(ctx)
		if c.queued() {
			time.AfterFunc(claims.MinAppendInterval, c.wakeUp) // the next append is allowed then
		}
	}
}

// wakeUp triggers a step without blocking.
func (c *claimService) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default: // a step is already pending
	}
}

func (c *claimService) queued() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay != nil && c.relay.Queued() > 0
}

// step starts following the stream if this node is a follower, and appends the relay's pending records.
func (c *claimService) step(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.relay == nil {
		c.follow(now)
		return
	}
	c.failOverdue(now)
	if c.appending {
		return
	}
	records := c.relay.Step(now, now.UnixMilli(), c.tail.Retention())
	if len(records) == 0 {
		return
	}
	c.appending = true
	go c.append(ctx, records)
}

// follow starts following the stream once this node has been a follower for claimFollowDelay. The caller holds mu.
func (c *claimService) follow(now time.Time) {
	isSelf := func(n wire.Node) bool { return n.ID == c.steward.self.ID }
	if _, _, ready := c.steward.tables.active(); !ready || !slices.ContainsFunc(c.followers(), isSelf) {
		c.eligibleSince = time.Time{}
		return
	}
	if c.eligibleSince.IsZero() {
		c.eligibleSince = now
	}
	if now.Sub(c.eligibleSince) < claimFollowDelay {
		return
	}
	c.relay = claims.NewRelay(c.steward.holder(), c.steward.seed)
	c.tail = c.steward.tails.add(claims.Stream, c, c.followers, claimRelayWait)
}

func (c *claimService) append(ctx context.Context, records []trial.NewRecord) {
	actx, cancel := context.WithTimeout(ctx, claimAppendTimeout)
	defer cancel()
	_, err := c.steward.platformLog.Append(actx, claims.Stream, records)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appending = false
	c.relay.HandleAppendResult(time.Now(), err)
}

// failOverdue fails the calls whose claims were not read back within claimFailGrace while appends to the log fail.
// Such a claim may still take effect later; it never allows another caller to run the request. The caller holds mu.
func (c *claimService) failOverdue(now time.Time) {
	if !c.relay.LastAppendFailed() {
		return
	}
	for id, ws := range c.waiters {
		if now.Sub(ws[0].startedAt) >= claimFailGrace {
			c.complete(id, claimOutcome{err: claims.ErrLogUnavailable})
		}
	}
}

// claim serves a gate. It asks the followers of its own zone first, then the relays of other zones.
func (c *claimService) claim(ctx context.Context, p wire.ClaimParams) (wire.ClaimResult, error) {
	if err := claims.Validate(&p); err != nil {
		return wire.ClaimResult{}, rpc.Errorf(wire.CodeInvalid, "%v", err)
	}
	timeout := time.Duration(p.TimeoutMs) * time.Millisecond
	if timeout <= 0 {
		timeout = DefaultClaimTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, min(timeout, MaxClaimTimeout))
	defer cancel()
	err := rpc.UnavailableErrorf(claimRetryAfter, "no node that reads claims is known; try again")
	for _, n := range c.deciders() {
		var res *wire.ClaimResult
		if res, err = c.askNode(ctx, n, p); err == nil {
			return *res, nil
		}
		if ctx.Err() != nil || errors.Is(err, claims.ErrTableFull) {
			break
		}
	}
	if rpc.Code(err) != 0 {
		return wire.ClaimResult{}, err
	}
	return wire.ClaimResult{}, rpc.UnavailableErrorf(claimRetryAfter, "claim not decided: %v", err)
}

// deciders returns the followers of this node's zone, then the relays of the other zones.
func (c *claimService) deciders() []wire.Node {
	var sameZone, others []wire.Node
	lastZone := ""
	for _, n := range c.followers() {
		switch {
		case n.AvailabilityZone == c.steward.self.AvailabilityZone:
			sameZone = append(sameZone, n)
		case n.AvailabilityZone != lastZone:
			others = append(others, n)
		}
		lastZone = n.AvailabilityZone
	}
	return append(sameZone, others...)
}

// askNode requests the decision from one node. Asking several nodes is safe, since they receive the same claim ID.
func (c *claimService) askNode(ctx context.Context, n wire.Node, p wire.ClaimParams) (*wire.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, claimAttemptTimeout)
	defer cancel()
	if n.ID == c.steward.self.ID {
		return c.decideLocally(ctx, p)
	}
	var res wire.RelayClaimsResult
	if err := c.steward.longPolls.Call(ctx, n.StewardAddress, wire.MethodRelayClaims, wire.RelayClaimsParams{Claims: []wire.ClaimParams{p}}, &res); err != nil {
		return nil, err
	}
	if len(res.Results) != 1 || res.Results[0] == nil {
		return nil, claims.ErrNotReady
	}
	return res.Results[0], nil
}

// decideLocally decides a claim on this node. It returns claims.ErrNotReady if the node does not follow the stream.
func (c *claimService) decideLocally(ctx context.Context, p wire.ClaimParams) (*wire.ClaimResult, error) {
	w := &claimWaiter{done: make(chan claimOutcome, 1), startedAt: time.Now()}
	c.mu.Lock()
	if c.relay == nil {
		c.mu.Unlock()
		return nil, claims.ErrNotReady
	}
	res, err := c.relay.Add(w.startedAt, p)
	if res != nil || err != nil {
		c.mu.Unlock()
		return res, err
	}
	c.waiters[p.ClaimID] = append(c.waiters[p.ClaimID], w)
	c.mu.Unlock()
	c.wakeUp()
	select {
	case outcome := <-w.done:
		return outcome.result, outcome.err
	case <-ctx.Done():
		c.removeWaiter(p.ClaimID, w)
		return nil, ctx.Err()
	}
}

func (c *claimService) removeWaiter(claimID string, w *claimWaiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ws := slices.DeleteFunc(c.waiters[claimID], func(x *claimWaiter) bool { return x == w })
	if c.waiters[claimID] = ws; len(ws) == 0 {
		delete(c.waiters, claimID)
	}
}

// relayClaims decides claims for stewards that do not follow the stream. It returns an error only if no claim was
// decided; the result of an undecided claim is nil.
func (c *claimService) relayClaims(ctx context.Context, p wire.RelayClaimsParams) (wire.RelayClaimsResult, error) {
	if len(p.Claims) == 0 || len(p.Claims) > claims.MaxPerRecord {
		return wire.RelayClaimsResult{}, rpc.Errorf(wire.CodeTooLarge, "send 1 to %d claims at a time", claims.MaxPerRecord)
	}
	ctx, cancel := context.WithTimeout(ctx, claimAttemptTimeout)
	defer cancel()
	out := wire.RelayClaimsResult{Results: make([]*wire.ClaimResult, len(p.Claims))}
	errs := make([]error, len(p.Claims))
	var g errgroup.Group
	for i := range p.Claims {
		g.Go(func() error {
			out.Results[i], errs[i] = c.decideLocally(ctx, p.Claims[i])
			return nil
		})
	}
	_ = g.Wait() // the functions return nil; errors are in errs
	for _, err := range errs {
		if err == nil {
			return out, nil
		}
	}
	return out, rpc.UnavailableErrorf(claimRetryAfter, "%v", errs[0])
}

// claimsStatus is the status of the claim service in the state dump.
type claimsStatus struct {
	Following bool         `json:"following"`
	Ready     bool         `json:"ready"`
	Held      int          `json:"held"`
	Waiting   int          `json:"waiting"`
	Stats     claims.Stats `json:"stats"`
}

func (c *claimService) status() claimsStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relay == nil {
		return claimsStatus{}
	}
	t := c.relay.Table()
	return claimsStatus{Following: true, Ready: t.Ready(), Held: t.Len(), Waiting: len(c.waiters), Stats: t.Stats()}
}
