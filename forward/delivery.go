package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ibistrail/ibistrail/crashes"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/routing"
	"github.com/ibistrail/ibistrail/targets"
	"github.com/ibistrail/ibistrail/trial"
)

// delivery is the state of one request while it is forwarded. Only the goroutine that serves the request
// accesses it; attempts report to it through outcomes.
type delivery struct {
	f           *Forwarder
	req         *Request
	fingerprint string
	route       *fleet.Route
	poolName    string
	startedAt   time.Time
	deadline    time.Time

	outcomes chan outcome
	pending  map[*attempt]bool
	tried    []string // addresses of the targets of ended attempts, which are avoided
	sends    int      // including those that the target has not run
	// runs counts the sends that the target may have run, which MaxAttempts bounds: a pool may have fewer targets than that. A send that
	// repeats one whose path was lost is the same run.
	runs int
	// pathLost holds the addresses of targets that may be sent the request again, because the path to them was lost before they answered.
	pathLost     map[string]bool
	serverErrors int
	lastTarget   string
	// via is the VM through which the answer came; empty if it came directly.
	via string
	// atLimit are the addresses of targets that take no request now because of their rate limits, permitDelay is the time until the
	// first of them may take one.
	atLimit     []string
	permitDelay time.Duration
	// continuing is set if the request resumes a stream that only targets of one software version can continue.
	continuing bool
	software   string
	usage      usageEntry
	// refused is set if the request is refused because no target has room for it in time.
	refused *Reply
	// hedgeLater is set if no target had room for a copy of the request.
	hedgeLater bool
	// queueFactor is the expected time at the last picked target, as a multiple of that without a queue.
	queueFactor float64
	// choice is the last choice of a target by its expected time.
	choice choice
}

// attempt is one send of the request to a target.
type attempt struct {
	instance  *fleet.Instance
	query     routing.Query
	cancel    context.CancelFunc
	startedAt time.Time
	// connection is the connection of the send, as logged.
	connection atomic.Value
	// connectedNs is when there was a connection, in Unix nanoseconds; 0 before.
	connectedNs atomic.Int64
	queueFactor float64 // as in delivery, when the send began
	// unread is set if the answer is forwarded while it is read.
	unread bool
}

// Connections of a send, as logged.
const (
	connectionNone = "none"
	connectionNew  = "new"
	connectionOpen = "open" // an earlier call used it
)

// outcome is the result of an attempt: an error, or an answer whose body has been read completely, unless it is
// a stream or larger than maxBufferedBytes.
type outcome struct {
	attempt *attempt
	answer  *targets.Response
	err     error
}

func (d *delivery) retryable() bool { return !d.route.NonIdempotent }

// admission returns whether the request may run, as targets may have crashed while they ran it.
func (d *delivery) admission() crashes.Admission {
	if d.req.Background {
		return d.f.crashes.AdmitScoring(d.fingerprint)
	}
	return d.f.crashes.Admit(d.fingerprint)
}

// suspect reports whether a target has crashed while it ran the request.
func (d *delivery) suspect() bool {
	a := d.admission()
	return a.Suspect || a.Rejected
}

// mayRunAgain reports whether the request may be sent to another target after a run that possibly took place.
func (d *delivery) mayRunAgain() bool {
	return d.retryable() && d.maySend() && (d.runs < d.route.MaxAttempts || len(d.pathLost) > 0) && !d.admission().Rejected
}

// maySend reports whether the request may have a further send at all.
func (d *delivery) maySend() bool { return d.sends < d.route.MaxAttempts+maxExtraSends }

// resume restricts a request that resumes a stream to the targets that can continue it. It returns a refusal if these are not known
// or none is left.
func (d *delivery) resume(ctx context.Context) *Reply {
	if !d.route.Streaming || !d.route.Resumable || d.req.ResumeAfter == 0 {
		return nil
	}
	origin, ok := d.f.origins.Find(ctx, d.route, d.req.Origin)
	switch {
	case !ok:
		return refusal(http.StatusServiceUnavailable, "this VM does not know which software version began the stream; take it up again or send the request anew", unknownOriginRetryAfter)
	case !d.route.UsesPool(origin.Pool):
		return refusal(http.StatusServiceUnavailable, "the stream began in a pool that its route does not use any more; send the request anew", noOriginRetryAfter)
	}
	d.poolName = origin.Pool
	if origin.Software == "" {
		return nil // any target can continue it
	}
	d.continuing, d.software = true, origin.Software
	if !slices.ContainsFunc(d.f.view.Get().Pool(origin.Pool), func(in *fleet.Instance) bool {
		return in.SoftwareVersion == origin.Software && !d.f.states.Draining(in)
	}) {
		return refusal(http.StatusServiceUnavailable, "no target of the software version that began the stream is left; send the request anew", noOriginRetryAfter)
	}
	return nil
}

// serve runs attempts, with a hedge and retries as the route allows, until one succeeds or none is left.
func (d *delivery) serve(ctx context.Context) *Reply {
	if a := d.admission(); a.Rejected {
		return refusal(http.StatusServiceUnavailable, a.Reason, a.RetryAfter)
	}
	d.pending, d.pathLost = map[*attempt]bool{}, map[string]bool{}
	ctx, cancel := context.WithDeadline(ctx, d.deadline)
	keepContext := false
	defer func() {
		if !keepContext {
			cancel()
		}
	}()
	if !d.startWhenPermitted(ctx) {
		if ctx.Err() != nil {
			return d.timeoutReply(ctx)
		}
		return d.unsentReply()
	}
	hedge := time.NewTimer(d.hedgeAfter())
	defer hedge.Stop()
	var presume <-chan time.Time
	if d.usage.enabled() {
		t := time.NewTicker(presumeRunAfter) // repeated, as a later send may be the first that is sent
		defer t.Stop()
		presume = t.C
	}
	var lastFailure *targets.Response
	var lastErr error
	for len(d.pending) > 0 {
		select {
		case <-presume:
			d.usage.presume(d.pending)
		case <-ctx.Done():
			if !d.usage.presume(d.pending) {
				d.usage.retract()
			}
			d.logUnansweredSends()
			d.cancelPending()
			return d.timeoutReply(ctx)
		case <-hedge.C:
			if d.retryable() && !d.route.Streaming && d.runs+len(d.pending) < d.route.MaxAttempts && !d.suspect() {
				if !d.startHedge(ctx) {
					hedge.Reset(hedgeRetryInterval)
				}
			}
		case o := <-d.outcomes:
			delete(d.pending, o.attempt)
			nextAction := d.recordOutcome(o)
			if nextAction == actionReply {
				keepContext = true
				return d.targetReply(o.answer, o.attempt, cancel)
			}
			d.logFailedSend(o)
			if o.answer != nil {
				unused := o.answer
				if !o.answer.NotExecuted {
					unused, lastFailure = lastFailure, o.answer
				}
				if unused != nil {
					unused.Body.Close()
				}
			}
			if o.err != nil {
				lastErr = o.err
			}
			if len(d.pending) == 0 && nextAction == actionRetry {
				d.startWhenPermitted(ctx) // if no target is left, the loop ends
			}
		}
	}
	d.usage.retract()
	keepContext = lastFailure != nil // until its body was read
	return d.failureReply(lastFailure, lastErr, cancel)
}

// startWhenPermitted starts an attempt, after a wait if the targets are at their rate limits. It returns false if no target is left, or
// if the wait would be too long.
func (d *delivery) startWhenPermitted(ctx context.Context) bool {
	for !d.startAttempt(ctx) {
		if !d.awaitPermit(ctx) {
			return false
		}
	}
	return true
}

// awaitPermit waits until a target that is at its rate limit may take the request. It returns false if there is none, or if the request
// would wait too long.
func (d *delivery) awaitPermit(ctx context.Context) bool {
	longest := time.Duration(permitWaitFraction * float64(d.route.TargetLatency))
	if d.req.Background {
		longest = backgroundPermitWait
	}
	if len(d.atLimit) == 0 || time.Since(d.startedAt)+d.permitDelay > longest {
		return false
	}
	process.Sleep(ctx, min(d.permitDelay, maxPermitPause))
	d.atLimit = d.atLimit[:0]
	return ctx.Err() == nil
}

// unsentReply returns the reply to a request that was sent to no target.
func (d *delivery) unsentReply() *Reply {
	if d.refused != nil {
		return d.refused
	}
	if len(d.atLimit) > 0 {
		return refusal(http.StatusServiceUnavailable, "the targets are at the rate limits that they named", max(minLimitRetryAfter, d.permitDelay))
	}
	return refusal(http.StatusServiceUnavailable, "the pool has no target", noTargetRetryAfter)
}

// hedgeAfter returns the time after which an idempotent request without an answer is sent to a second target.
func (d *delivery) hedgeAfter() time.Duration {
	if d.route.TargetLatency <= 0 {
		return defaultTimeout
	}
	return max(minHedgeDelay, time.Duration(float64(d.route.TargetLatency)*hedgeFraction))
}

// timeoutReply returns the reply to a request whose deadline has passed or whose caller has disconnected.
func (d *delivery) timeoutReply(ctx context.Context) *Reply {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return d.withServerErrors(refusal(http.StatusGatewayTimeout, "no target answered in the request's time", 0))
	}
	return d.withServerErrors(refusal(http.StatusGatewayTimeout, "the caller has gone", 0))
}

// action is the next step after an outcome.
type action int

const (
	actionReply action = iota // return the answer to the caller
	actionRetry               // send the request again if no attempt is pending
	actionNone                // send nothing more because of this outcome
)

// recordOutcome updates the routing table and the counts of the request with an outcome and returns the next
// step.
func (d *delivery) recordOutcome(o outcome) action {
	f, now := d.f, time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[d.poolName]
	table := p.table
	address := o.attempt.instance.Address
	if p.queue != nil {
		defer f.placeWaiting(now, p)
		d.recordPlace(now, p, o)
	}
	table.End(now, address, o.attempt.query)
	if errors.Is(o.err, targets.ErrPathLost) { // which is not the target's fault
		d.countRun(o)
		d.pathLost[address] = true
		return d.retryIf(d.mayRunAgain())
	}
	d.tried = append(d.tried, address)
	if o.err != nil {
		if !targets.Sent(o.err) {
			table.RecordUnreachable(now, address)
			return d.retryIf(d.maySend())
		}
		d.countRun(o)
		table.RecordFailure(now, address)
		return d.retryIf(d.mayRunAgain())
	}
	if l := o.answer.Load; l != nil && p.queue == nil {
		table.RecordLoad(now, address, trial.Load{Running: l.Running, Waiting: l.Waiting, BatchLimit: l.Slots})
	}
	if o.answer.NotExecuted {
		if o.answer.WrongInstance {
			table.RecordUnreachable(now, address)
		} else {
			table.RecordOverload(now, address)
		}
		return d.retryIf(d.maySend())
	}
	d.countRun(o)
	if !o.attempt.unread {
		f.crashes.Answered(d.fingerprint)
	}
	if o.answer.Status >= http.StatusInternalServerError {
		if o.answer.Status == http.StatusInternalServerError {
			d.serverErrors++
		}
		return d.retryIf(d.mayRunAgain())
	}
	if p.queue != nil {
		table.RecordAnswer(now, address, d.route.Name, now.Sub(o.attempt.startedAt), o.attempt.queueFactor)
	} else {
		table.RecordSuccess(now, address, now.Sub(o.attempt.startedAt).Seconds())
	}
	return actionReply
}

// countRun counts a send that the target may have run.
func (d *delivery) countRun(o outcome) {
	if o.answer != nil || o.attempt.connected() { // the deadline may have passed before there was a connection
		d.usage.confirm(o.attempt)
	}
	address := o.attempt.instance.Address
	if !d.pathLost[address] {
		d.runs++
	}
	delete(d.pathLost, address)
}

// logFailedSend logs an attempt that did not yield the answer.
func (d *delivery) logFailedSend(o outcome) {
	result := ""
	switch {
	case o.err != nil && !targets.Sent(o.err):
		result = "not sent"
	case errors.Is(o.err, targets.ErrPathLost):
		result = "path lost"
	case o.err != nil:
		result = "broken off"
	case o.answer.WrongInstance:
		result = "another target at its address"
	case o.answer.NotExecuted:
		result = "not run"
	default:
		result = "answered " + strconv.Itoa(o.answer.Status)
	}
	d.logSend(o.attempt, result, o.err)
}

// logUnansweredSends logs the sends that have neither an answer nor an error when the request ends.
func (d *delivery) logUnansweredSends() {
	for a := range d.pending {
		d.logSend(a, "unanswered", nil)
	}
}

func (d *delivery) logSend(a *attempt, result string, err error) {
	d.f.log.Info("send_failed", "id", d.req.ID, "content", d.fingerprint, "target", a.instance.Name, "outcome", result, "connection", a.connection.Load(),
		"ms", time.Since(a.startedAt).Milliseconds(), "err", err)
}

func (d *delivery) retryIf(ok bool) action {
	if ok {
		return actionRetry
	}
	return actionNone
}

// startAttempt sends the request to one more target. It returns false if no target is left.
func (d *delivery) startAttempt(ctx context.Context) bool {
	for {
		in, q, ok := d.pickOrWait(ctx)
		if !ok {
			return false
		}
		ok, retryAfter := d.f.limiter.Acquire(ctx, in, d.req.Background)
		if ok {
			d.send(ctx, in, q)
			return true
		}
		d.unpick(in, q, retryAfter)
	}
}

// startHedge sends a copy of the request to another target. Targets that have named a rate limit get no copies. It returns false if a target
// may have room for a copy later.
func (d *delivery) startHedge(ctx context.Context) bool {
	d.recordUnfinished()
	in, q, ok := d.pick(true)
	if ok {
		d.send(ctx, in, q)
	}
	return ok || !d.hedgeLater
}

// pick picks a target, for a hedge or for the next attempt, and counts the request among its load.
func (d *delivery) pick(hedge bool) (*fleet.Instance, routing.Query, bool) {
	f, now := d.f, time.Now()
	suspect := d.suspect()
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.poolState(now, f.view.Get(), d.poolName)
	if hedge && p.queue != nil && p.queue.Waiting() > 0 {
		d.hedgeLater = true
		return nil, routing.Query{}, false // a copy would take the place of another request
	}
	in, q, ok := d.choose(now, p, suspect, hedge)
	if ok {
		d.startAt(now, p, in.Address, q)
		return in, q, true
	}
	if hedge && p.queue != nil {
		q.IgnoreLimits, q.LeaveFree = true, false
		_, d.hedgeLater = p.table.Pick(now, q) // the others are full, and not excluded
	}
	return nil, q, false
}

// choose chooses a target and changes nothing. The caller holds the forwarder's lock.
func (d *delivery) choose(now time.Time, p *poolState, suspect, hedge bool) (*fleet.Instance, routing.Query, bool) {
	// A suspect keeps its target for itself if there are others for the remaining requests. A stream would keep it too long.
	q := routing.Query{Kind: d.route.Name, Budget: d.deadline.Sub(now), Avoid: d.tried, Exclude: d.excluded(p, hedge), Exclusive: suspect && !d.route.Streaming && len(p.byAddr) >= minTargetsToIsolate}
	q.LeaveFree = hedge && p.queue != nil // a copy must not delay other requests
	address, ok := p.table.Pick(now, q)
	if !ok && q.Exclusive {
		q.Exclusive = false
		address, ok = p.table.Pick(now, q)
	}
	if !ok && !d.waitsForPermit() && !(hedge && p.queue != nil) {
		// All are at their limits. Targets queue requests themselves and refuse them when the queue is full.
		q.IgnoreLimits = true
		address, ok = p.table.Pick(now, q)
	}
	in := p.byAddr[address]
	return in, q, ok && in != nil
}

// beginsResumable reports whether the request begins a stream that can be taken up.
func (d *delivery) beginsResumable() bool {
	return d.route.Streaming && d.route.Resumable && d.req.ResumeAfter == 0
}

// excluded returns the addresses of the targets that must not get the request, or a copy of it.
func (d *delivery) excluded(p *poolState, hedge bool) []string {
	out := slices.Clone(d.atLimit)
	if hedge {
		for a := range d.pending {
			out = append(out, a.instance.Address)
		}
	}
	begins := d.beginsResumable()
	for address, in := range p.byAddr {
		exhausted := d.runs >= d.route.MaxAttempts && !d.pathLost[address]
		wrongVersion := d.continuing && in.SoftwareVersion != d.software || begins && !d.f.origins.MayBegin(in)
		if exhausted || wrongVersion || d.f.states.Draining(in) || hedge && d.f.limiter.Limited(in) {
			out = append(out, address)
		}
	}
	return out
}

// waitsForPermit reports whether the request waits for a permit rather than go to a target that is full: the few targets of a pool that
// have no rate limit would else get all requests that exceed the limits of the others.
func (d *delivery) waitsForPermit() bool { return d.req.Background && len(d.atLimit) > 0 }

// unpick takes back the pick of a target that is at its rate limit for some time.
func (d *delivery) unpick(in *fleet.Instance, q routing.Query, retryAfter time.Duration) {
	d.f.mu.Lock()
	p, now := d.f.pools[d.poolName], time.Now()
	p.table.End(now, in.Address, q)
	if p.queue != nil {
		p.queue.Unsent(d.req.Background)
		d.f.placeWaiting(now, p)
	}
	d.f.mu.Unlock()
	if len(d.atLimit) == 0 || retryAfter < d.permitDelay {
		d.permitDelay = retryAfter
	}
	d.atLimit = append(d.atLimit, in.Address)
}

// send starts an attempt on a target that was picked.
func (d *delivery) send(ctx context.Context, in *fleet.Instance, q routing.Query) {
	f, now := d.f, time.Now()
	attemptCtx, cancel := context.WithCancel(ctx)
	a := &attempt{instance: in, query: q, cancel: cancel, startedAt: now, queueFactor: d.queueFactor}
	a.connection.Store(connectionNone)
	d.pending[a] = true
	d.sends++
	d.lastTarget = in.Name
	deadline := d.deadline
	if !d.req.Deadline.IsZero() {
		deadline = d.req.Deadline
	}
	call := &targets.Call{
		Instance: in, Method: d.req.Method, Host: d.req.Host, URI: d.req.URI, Header: d.req.Header, Body: d.req.Body,
		RequestID: d.req.ID, Organisation: d.req.Organisation, Budget: deadline.Sub(now), Priority: targets.NoPriority, ResumeAfter: d.req.ResumeAfter, NewConnection: !d.retryable(),
		UnansweredSince: d.unansweredSince(),
		Connected: func(reused bool) {
			a.connectedNs.CompareAndSwap(0, time.Now().UnixNano())
			if reused {
				a.connection.Store(connectionOpen)
			} else {
				a.connection.Store(connectionNew)
			}
		},
	}
	go func() {
		answer, err := f.client.Do(attemptCtx, call)
		if err == nil {
			err = d.readBody(attemptCtx, a, answer)
		}
		if err != nil {
			if targets.Sent(err) && attemptCtx.Err() == nil {
				f.crashes.RunBroken(d.fingerprint, in)
			}
			cancel()
			answer = nil
		}
		d.outcomes <- outcome{a, answer, err}
	}()
}

// readBody reads the body of an attempt's answer, unless it must be forwarded while it is read. ctx is that of the attempt.
func (d *delivery) readBody(ctx context.Context, a *attempt, answer *targets.Response) error {
	if d.req.Background {
		return discardBody(answer)
	}
	if a.unread = d.unread(answer) || !d.f.buffer.reserve(answer.Length); a.unread {
		return nil
	}
	if err := d.f.buffer.read(answer); err != nil {
		return err
	}
	held := answer.Body
	context.AfterFunc(ctx, func() { held.Close() }) // not every answer is forwarded
	return nil
}

// unread reports whether an answer must be forwarded while it is read, however much memory there is.
func (d *delivery) unread(answer *targets.Response) bool {
	return d.route.Streaming && answer.Status < http.StatusBadRequest || answer.Length > maxBufferedBytes
}

// unansweredSince returns when the request was first sent, if it was.
func (d *delivery) unansweredSince() time.Time {
	if d.sends <= 1 {
		return time.Time{}
	}
	return d.startedAt
}

// targetReply cancels the other attempts and returns a target's answer as the reply. Closing its body calls
// cancel.
func (d *delivery) targetReply(answer *targets.Response, a *attempt, cancel context.CancelFunc) *Reply {
	d.cancelPending()
	d.via = answer.Via
	body := answer.Body
	if d.route.Streaming && answer.Status < http.StatusBadRequest {
		body = d.f.client.WholeEvents(body)
	}
	if a.unread {
		body = &answerBody{ReadCloser: body, d: d, instance: a.instance}
	}
	return &Reply{
		Status: answer.Status, Header: answer.Header, Length: answer.Length, Proof: answer.Proof, ServerErrors: d.serverErrors,
		Body: &cancelingBody{ReadCloser: body, onClose: func() { a.cancel(); cancel() }},
	}
}

// cancelPending cancels the pending attempts and removes them from the load of their targets.
func (d *delivery) cancelPending() {
	if len(d.pending) == 0 {
		return
	}
	d.f.mu.Lock()
	defer d.f.mu.Unlock()
	p, now := d.f.pools[d.poolName], time.Now()
	for a := range d.pending {
		a.cancel()
		p.table.End(now, a.instance.Address, a.query)
		if p.queue != nil {
			p.table.RecordUnfinished(now, a.instance.Address, d.route.Name, now.Sub(a.startedAt), a.queueFactor)
			p.queue.Unsent(d.req.Background)
		}
	}
	if p.queue != nil {
		d.f.placeWaiting(now, p)
	}
}

// failureReply returns the reply to a request that no target served: the last error answer of a target, if any. Closing
// its body calls cancel.
func (d *delivery) failureReply(lastFailure *targets.Response, err error, cancel context.CancelFunc) *Reply {
	if lastFailure != nil {
		return &Reply{
			Status: lastFailure.Status, Header: lastFailure.Header, Length: lastFailure.Length, Proof: lastFailure.Proof,
			ServerErrors: d.serverErrors, Body: &cancelingBody{ReadCloser: lastFailure.Body, onClose: cancel},
		}
	}
	if d.runs == 0 {
		if r := d.noRoom(); r != nil {
			return r
		}
		return refusal(http.StatusServiceUnavailable, "no target had room for the request", max(noTargetRetryAfter, d.permitDelay))
	}
	return d.withServerErrors(refusal(http.StatusBadGateway, fmt.Sprintf("the targets failed: %v", err), 0))
}

// withServerErrors adds the number of errors that targets answered to a reply of the VM itself. A caller that repeats the request counts
// them against the route's attempts.
func (d *delivery) withServerErrors(r *Reply) *Reply {
	r.ServerErrors = d.serverErrors
	return r
}

// answerBody reports how a target's answer ends that is forwarded while it is read: a request may crash its target at any moment of the answer.
type answerBody struct {
	io.ReadCloser
	d        *delivery
	instance *fleet.Instance
	// begun is set after the first bytes, ended once the end was reported.
	begun, ended bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	first := n > 0 && !b.begun
	b.begun = b.begun || n > 0
	if first && b.d.beginsResumable() {
		b.d.f.origins.Begin(b.d.req.ID, b.instance)
	}
	switch {
	case err == nil || b.ended:
	case err == io.EOF:
		b.ended = true
		b.d.f.crashes.Answered(b.d.fingerprint)
	case !errors.Is(err, context.Canceled): // the caller has not gone
		b.ended = true
		if b.begun {
			go b.d.f.crashes.RunBroken(b.d.fingerprint, b.instance) // the caller need not wait to take the stream up again
		} else {
			b.d.f.crashes.RunBroken(b.d.fingerprint, b.instance)
		}
	}
	return n, err
}

// cancelingBody cancels the context of an attempt when the body of its answer is closed.
type cancelingBody struct {
	io.ReadCloser
	onClose func()
}

func (b *cancelingBody) Close() error {
	defer b.onClose()
	return b.ReadCloser.Close()
}
