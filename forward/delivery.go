package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/routing"
	"github.com/ibistrail/ibistrail/targets"
	"github.com/ibistrail/ibistrail/trial"
)

// run is one request on its way. Only its own goroutine touches it.
type run struct {
	f        *Forwarder
	req      *Request
	route    *fleet.Route
	poolName string
	began    time.Time
	deadline time.Time

	outcomes chan outcome
	open     map[*attempt]bool
	avoid    []string
	// sends counts the targets that were offered the request, ran those that may have run it.
	sends, ran   int
	serverErrors int
	last         string
}

// attempt is the request at one target.
type attempt struct {
	instance *fleet.Instance
	cancel   context.CancelFunc
	began    time.Time
}

// outcome is how an attempt ended: with an answer whose body is whole or a stream, or with an error.
type outcome struct {
	a      *attempt
	answer *targets.Answer
	err    error
}

func (r *run) repeatable() bool { return !r.route.NonIdempotent }

// serve drives the attempts of the request.
func (r *run) serve(ctx context.Context) *Reply {
	r.open = map[*attempt]bool{}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	keep := false
	defer func() {
		if !keep {
			cancel()
		}
	}()
	if !r.start(ctx) {
		return refuse(http.StatusServiceUnavailable, "the pool has no target", retryAfter)
	}
	hedge := time.NewTimer(r.hedgeAfter())
	defer hedge.Stop()
	var failure *targets.Answer
	var lastErr error
	for len(r.open) > 0 {
		select {
		case <-ctx.Done():
			r.endOthers()
			return r.late(ctx)
		case <-hedge.C:
			if r.repeatable() && !r.route.Streaming && r.ran+len(r.open) < r.route.MaxAttempts {
				r.start(ctx)
			}
		case o := <-r.outcomes:
			delete(r.open, o.a)
			next := r.judge(o)
			if next == final {
				keep = true
				return r.pass(o.answer, o.a, cancel)
			}
			r.note(o)
			if o.answer != nil && !o.answer.NotRun {
				failure = o.answer
			}
			if o.err != nil {
				lastErr = o.err
			}
			if len(r.open) == 0 && next == again {
				r.start(ctx) // where no target is left, the loop ends
			}
		}
	}
	return r.failed(failure, lastErr)
}

// hedgeAfter is when an idempotent request that has no answer is sent to a second target.
func (r *run) hedgeAfter() time.Duration {
	if r.route.TargetLatency <= 0 {
		return defaultBudget
	}
	return max(minHedge, time.Duration(float64(r.route.TargetLatency)*hedgeShare))
}

// late ends a request whose time is over, or whose caller has gone.
func (r *run) late(ctx context.Context) *Reply {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuse(http.StatusGatewayTimeout, "no target answered in the request's time", 0)
	}
	return refuse(http.StatusGatewayTimeout, "the caller has gone", 0)
}

// next is what follows an outcome.
type next int

const (
	final next = iota
	again
	over
)

// judge tells what follows an outcome and what the table of targets learns from it.
func (r *run) judge(o outcome) next {
	f, now := r.f, time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	table := f.pools[r.poolName].table
	address := o.a.instance.Address
	table.End(now, address, routing.Query{})
	r.avoid = append(r.avoid, address)
	if o.err != nil {
		if !targets.Sent(o.err) {
			table.Dead(now, address)
			return r.againIf(r.sends < r.route.MaxAttempts+extraSends)
		}
		r.ran++
		table.Failed(now, address)
		return r.againIf(r.repeatable() && r.ran < r.route.MaxAttempts)
	}
	if l := o.answer.Load; l != nil {
		table.Report(now, address, trial.Load{Running: l.Running, Waiting: l.Waiting, BatchLimit: l.Slots})
	}
	if o.answer.NotRun {
		if o.answer.WrongInstance {
			table.Dead(now, address)
		} else {
			table.Overloaded(now, address)
		}
		return r.againIf(r.sends < r.route.MaxAttempts+extraSends)
	}
	r.ran++
	if o.answer.Status >= http.StatusInternalServerError {
		if o.answer.Status == http.StatusInternalServerError {
			r.serverErrors++
		}
		return r.againIf(r.repeatable() && r.ran < r.route.MaxAttempts)
	}
	table.Succeeded(now, address, now.Sub(o.a.began).Seconds())
	return final
}

// note logs a send that did not serve the request.
func (r *run) note(o outcome) {
	how := ""
	switch {
	case o.err != nil && !targets.Sent(o.err):
		how = "not sent"
	case o.err != nil:
		how = "broken off"
	case o.answer.WrongInstance:
		how = "another target at its address"
	case o.answer.NotRun:
		how = "not run"
	default:
		how = "answered " + strconv.Itoa(o.answer.Status)
	}
	r.f.log.Info("send_failed", "id", r.req.ID, "target", o.a.instance.Name, "outcome", how, "ms", time.Since(o.a.began).Milliseconds(), "err", o.err)
}

func (r *run) againIf(ok bool) next {
	if ok {
		return again
	}
	return over
}

// start sends the request to one more target. It returns false where none is left.
func (r *run) start(ctx context.Context) bool {
	f, now := r.f, time.Now()
	f.mu.Lock()
	p := f.pool(now, f.view.Get(), r.poolName)
	q := routing.Query{Avoid: r.avoid}
	address, ok := p.table.Pick(now, q)
	if !ok {
		// The targets keep queues of their own and say so when these are full.
		q.AnyLoad = true
		address, ok = p.table.Pick(now, q)
	}
	in := p.byAddr[address]
	if ok && in != nil {
		p.table.Start(now, address, routing.Query{})
	}
	f.mu.Unlock()
	if !ok || in == nil {
		return false
	}
	actx, cancel := context.WithCancel(ctx)
	a := &attempt{instance: in, cancel: cancel, began: now}
	r.open[a] = true
	r.sends++
	r.last = in.Name
	call := &targets.Call{
		Instance: in, Method: r.req.Method, Host: r.req.Host, URI: r.req.URI, Header: r.req.Header, Body: r.req.Body,
		RequestID: r.req.ID, Budget: r.deadline.Sub(now), Priority: targets.NoPriority, ResumeAfter: r.req.ResumeAfter, Once: !r.repeatable(),
	}
	go func() {
		answer, err := f.client.Do(actx, call)
		if err == nil && !r.route.Streaming {
			err = readWhole(answer)
		}
		if err != nil {
			cancel()
			answer = nil
		}
		r.outcomes <- outcome{a, answer, err}
	}()
	return true
}

// readWhole replaces the body by what was read of it, so that a cut answer is found before any of
// it is passed on.
func readWhole(a *targets.Answer) error {
	if a.Length > maxWhole {
		return nil
	}
	defer a.Body.Close()
	data, err := io.ReadAll(io.LimitReader(a.Body, maxWhole+1))
	if err != nil {
		return err
	}
	if len(data) > maxWhole {
		return fmt.Errorf("the answer is longer than %d bytes and has no length", maxWhole)
	}
	a.Body, a.Length = io.NopCloser(bytes.NewReader(data)), int64(len(data))
	return nil
}

// pass returns a target's answer, and ends the other attempts.
func (r *run) pass(answer *targets.Answer, a *attempt, cancel context.CancelFunc) *Reply {
	r.endOthers()
	body := answer.Body
	return &Reply{
		Status: answer.Status, Header: answer.Header, Length: answer.Length, Proof: answer.Proof, ServerErrors: r.serverErrors,
		Body: &closeBody{ReadCloser: body, close: func() { a.cancel(); cancel() }},
	}
}

// endOthers cancels the attempts that are still open and counts them out of the table.
func (r *run) endOthers() {
	if len(r.open) == 0 {
		return
	}
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	for a := range r.open {
		a.cancel()
		r.f.pools[r.poolName].table.End(time.Now(), a.instance.Address, routing.Query{})
	}
}

// failed ends a request that no target served.
func (r *run) failed(failure *targets.Answer, err error) *Reply {
	if failure != nil {
		return &Reply{
			Status: failure.Status, Header: failure.Header, Body: failure.Body, Length: failure.Length, Proof: failure.Proof,
			ServerErrors: r.serverErrors,
		}
	}
	if r.ran == 0 {
		return refuse(http.StatusServiceUnavailable, "no target had room for the request", retryAfter)
	}
	return refuse(http.StatusBadGateway, fmt.Sprintf("the targets failed: %v", err), 0)
}

// closeBody releases an attempt when its answer has been passed on.
type closeBody struct {
	io.ReadCloser
	close func()
}

// Close implements io.Closer.
func (b *closeBody) Close() error {
	defer b.close()
	return b.ReadCloser.Close()
}
