package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/targets"
)

// usageLog is a UsageCounter that keeps the sum and the last time.
type usageLog struct {
	mu sync.Mutex
	n  int
	at time.Time
}

func (u *usageLog) Began(_ string, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.n, u.at = u.n+1, at
}

func (u *usageLog) Retract(string, time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.n--
}

func (u *usageLog) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.n
}

// stepClient answers the calls in their order by steps.
type stepClient struct {
	targets.Client
	mu    sync.Mutex
	steps []func(ctx context.Context, call *targets.Call) (*targets.Response, error)
}

func (c *stepClient) Do(ctx context.Context, call *targets.Call) (*targets.Response, error) {
	c.mu.Lock()
	step := c.steps[0]
	if len(c.steps) > 1 {
		c.steps = c.steps[1:]
	}
	c.mu.Unlock()
	return step(ctx, call)
}

// TestRequestsThatMayHaveRunAreCountedOnce covers the ends of a request: it counts once if a target may have begun to run it, and not
// at all otherwise.
func TestRequestsThatMayHaveRunAreCountedOnce(t *testing.T) {
	answer := func(status int, notExecuted bool) *targets.Response {
		return &targets.Response{Status: status, NotExecuted: notExecuted, Proof: "p"}
	}
	type step = func(ctx context.Context, call *targets.Call) (*targets.Response, error)
	after := func(d time.Duration, r *targets.Response, err error) step {
		return func(ctx context.Context, call *targets.Call) (*targets.Response, error) {
			if call.Connected != nil {
				call.Connected(false)
			}
			select {
			case <-time.After(d):
				if r == nil {
					return nil, err
				}
				out := *r
				out.Body = io.NopCloser(strings.NewReader(""))
				return &out, err
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
	unconnected := func(ctx context.Context, _ *targets.Call) (*targets.Response, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ok, failed, refused := answer(http.StatusOK, false), answer(http.StatusInternalServerError, false), answer(http.StatusServiceUnavailable, true)
	notSent := targets.NotSent(errors.New("refused"))
	for name, c := range map[string]struct {
		steps []step
		req   Request
		want  int
	}{
		"answered":                       {steps: []step{after(0, ok, nil)}, want: 1},
		"failed and repeated":            {steps: []step{after(0, failed, nil), after(0, nil, io.ErrUnexpectedEOF), after(0, ok, nil)}, want: 1},
		"broken off":                     {steps: []step{after(0, nil, io.ErrUnexpectedEOF)}, want: 1},
		"path lost":                      {steps: []step{after(0, nil, targets.ErrPathLost), after(0, nil, notSent)}, want: 1},
		"not sent":                       {steps: []step{after(0, nil, notSent)}},
		"not executed":                   {steps: []step{after(0, refused, nil)}},
		"not executed, late":             {steps: []step{after(presumeRunAfter+50*time.Millisecond, refused, nil), after(0, nil, notSent)}},
		"not executed, then run":         {steps: []step{after(0, refused, nil), after(0, ok, nil)}, want: 1},
		"unanswered":                     {steps: []step{after(time.Minute, ok, nil)}, want: 1},
		"without a connection":           {steps: []step{unconnected}},
		"scoring call":                   {steps: []step{after(0, ok, nil)}, req: Request{Background: true}},
		"resumed stream":                 {steps: []step{after(0, ok, nil)}, req: Request{ResumeAfter: 4}},
		"without an organisation":        {steps: []step{after(0, ok, nil)}, req: Request{Organisation: "-"}},
		"refused, and waits for another": {steps: []step{after(presumeRunAfter+50*time.Millisecond, refused, nil), unconnected}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { // a busy machine must not delay an answer beyond the deadline
				is := is.New(t)
				f := newPoolForwarder(&stepClient{steps: c.steps}, fleet.Route{MaxAttempts: 3, TargetLatency: time.Minute}, 4)
				usage := &usageLog{}
				f.usage = usage
				req := c.req
				req.ID, req.Method, req.Host, req.Path, req.URI, req.Header, req.Budget = "r", http.MethodPost, "h", "/x", "/x", http.Header{}, 2*presumeRunAfter
				switch req.Organisation {
				case "":
					req.Organisation = "hule930"
				case "-":
					req.Organisation = ""
				}
				begin := time.Now()
				f.Serve(t.Context(), &req)
				is.Equal(usage.count(), c.want)
				if c.want > 0 {
					is.True(usage.at.Sub(begin).Abs() < presumeRunAfter/2) // when the first send began, not when it was answered
				}
			})
		})
	}
}

// TestLongRequestsAreCountedWhenTheyBegin covers requests that run for longer than a window's report waits: they were counted too late.
func TestLongRequestsAreCountedWhenTheyBegin(t *testing.T) {
	is := is.New(t)
	answered := make(chan struct{})
	f := newTestForwarder(&stepClient{steps: []func(context.Context, *targets.Call) (*targets.Response, error){
		func(_ context.Context, call *targets.Call) (*targets.Response, error) {
			call.Connected(true)
			<-answered
			return &targets.Response{Status: http.StatusOK, Proof: "p", Body: io.NopCloser(strings.NewReader(""))}, nil
		},
	}}, fleet.Route{MaxAttempts: 1})
	usage := &usageLog{}
	f.usage = usage
	done := make(chan struct{})
	go func() {
		f.Serve(t.Context(), &Request{ID: "r", Method: http.MethodPost, Host: "h", Path: "/x", URI: "/x", Header: http.Header{}, Budget: time.Minute, Organisation: "o"})
		close(done)
	}()
	time.Sleep(2 * presumeRunAfter)
	is.Equal(usage.count(), 1)
	close(answered)
	<-done
	is.Equal(usage.count(), 1)
}
