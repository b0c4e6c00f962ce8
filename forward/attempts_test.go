package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/targets"
)

// noneGone is a prober that finds all targets alive.
type noneGone struct{}

func (noneGone) Gone(context.Context, *fleet.Instance) bool { return false }

// scriptedClient answers the nth call as script says, and the later ones as its last entry says.
type scriptedClient struct {
	targets.Client
	script []string

	mu    sync.Mutex
	calls int
	runs  int // calls that may have been run, without those that repeat a call whose path was lost
	lost  map[string]bool
}

// Answers of a scriptedClient.
const (
	answerError       = "500"
	answerNotExecuted = "not executed"
	answerPathLost    = "path lost"
	answerBroken      = "broken off"
	answerNone        = "none"
	answerSlowError   = "500 after 80 ms"
)

func (c *scriptedClient) Do(ctx context.Context, call *targets.Call) (*targets.Response, error) {
	c.mu.Lock()
	answer := c.script[min(c.calls, len(c.script)-1)]
	c.calls++
	address := call.Instance.Address
	if answer != answerNotExecuted && !c.lost[address] {
		c.runs++
	}
	if c.lost == nil {
		c.lost = map[string]bool{}
	}
	c.lost[address] = answer == answerPathLost
	c.mu.Unlock()
	status := http.StatusInternalServerError
	switch answer {
	case answerNone:
		<-ctx.Done()
		return nil, ctx.Err()
	case answerPathLost:
		return nil, fmt.Errorf("test: %w", targets.ErrPathLost)
	case answerBroken:
		return nil, errors.New("the connection was reset")
	case answerNotExecuted:
		status = http.StatusServiceUnavailable
	case answerSlowError:
		time.Sleep(80 * time.Millisecond)
	}
	return &targets.Response{Status: status, Body: io.NopCloser(strings.NewReader("")), NotExecuted: answer == answerNotExecuted}, nil
}

// TestFailingRequestEndsAfterMaxAttempts guards against a request that fails at each run and is sent without end where the pool has fewer
// targets than the route allows attempts: the bound must count runs, not targets.
func TestFailingRequestEndsAfterMaxAttempts(t *testing.T) {
	for _, tc := range []struct {
		name   string
		script []string
		route  fleet.Route
		errors int // least number of 500s that the reply must report
	}{
		{"plain", []string{answerError}, fleet.Route{}, 4},
		{"streamed", []string{answerError}, fleet.Route{Streaming: true, Resumable: true}, 4},
		{"broken off", []string{answerBroken}, fleet.Route{}, 0},
		{"hedged", []string{answerSlowError}, fleet.Route{TargetLatency: 100 * time.Millisecond}, 4},
		{"not executed between", []string{answerNotExecuted, answerError, answerNotExecuted, answerError}, fleet.Route{}, 4},
		{"path lost first", []string{answerPathLost, answerError}, fleet.Route{}, 4},
		{"path lost always", []string{answerPathLost}, fleet.Route{}, 0},
		{"unanswered at the end", []string{answerError, answerError, answerError, answerNone}, fleet.Route{}, 3},
	} {
		for size := 1; size <= 5; size++ {
			for _, background := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/targets=%d/background=%t", tc.name, size, background), func(t *testing.T) {
					is := is.New(t)
					client := &scriptedClient{script: tc.script}
					route := tc.route
					route.MaxAttempts = 4
					f := newPoolForwarder(client, route, size)
					reply := f.Serve(t.Context(), &Request{
						ID: "r", Method: http.MethodPost, Host: "h", Path: "/x", URI: "/x", Header: http.Header{}, Budget: 500 * time.Millisecond, Background: background,
					})
					client.mu.Lock()
					defer client.mu.Unlock()
					is.True(reply.Status >= http.StatusInternalServerError)
					is.True(client.runs <= route.MaxAttempts)                // runs
					is.True(client.calls <= route.MaxAttempts+maxExtraSends) // sends
					is.True(reply.ServerErrors >= tc.errors)                 // reported, so that the caller of Serve can count them
				})
			}
		}
	}
}
