package gate

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fake/service"
	"github.com/matryer/is"
)

// breakingTarget starts a target that answers the first request on each connection, and closes the
// connection without an answer after it has read a second one, like a broken idle connection. It counts the
// requests and returns its address.
func breakingTarget(t *testing.T, requests *atomic.Int64) string {
	l := newListener(t)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveBreaking(c, requests)
		}
	}()
	return l.Addr().String()
}

func serveBreaking(c net.Conn, requests *atomic.Int64) {
	defer c.Close()
	r := bufio.NewReader(c)
	for range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if requests.Add(1)%2 == 0 {
			return // the request was read, but gets no answer
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func TestStandardClientSendsAgainAndTheGateDoesNot(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	address := breakingTarget(t, &requests)
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", strings.NewReader("x"))
		is.NoErr(err)
		req.Header.Set(api.HeaderIdempotencyKey, "k")
		resp, err := client.Do(req)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	is.Equal(requests.Load(), int64(3)) // two calls, three requests: net/http resent one

	requests.Store(0)
	f := newFleet(t, fleetOptions{gates: 1, tables: func(tb *config.Tables) {
		tb.Pools[1].Targets = []config.Target{{Name: "s", Address: address, AvailabilityZone: zone}}
	}})
	for i, want := range []api.Outcome{api.OutcomeDone, api.OutcomeUnknown, api.OutcomeDone} {
		r := f.send(0, http.MethodPost, "/corrections/1", "x", api.HeaderIdempotencyKey, string(rune('a'+i)))
		is.Equal(outcome(r), want)
	}
	is.Equal(requests.Load(), int64(3)) // three calls, three requests
}

// repeatingTarget starts a target that sends each answer, the path of its request, again before the answer to the next
// request on the connection. It returns its address.
func repeatingTarget(t *testing.T) string {
	l := newListener(t)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, last := bufio.NewReader(c), ""
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
					_, _ = io.WriteString(c, last+answer)
					last = answer
				}
			}()
		}
	}()
	return l.Addr().String()
}

func TestSecondAnswerOfTargetIsNotTakenForTheNextOne(t *testing.T) {
	is := is.New(t)
	address := repeatingTarget(t)
	f := newFleet(t, fleetOptions{gates: 1, tables: func(tb *config.Tables) {
		tb.Pools[1].Targets = []config.Target{{Name: "s", Address: address, AvailabilityZone: zone}}
	}})
	for i := range 4 {
		path := fmt.Sprintf("/log/%d", i)
		r := f.send(0, http.MethodGet, path, "")
		body, err := io.ReadAll(r.Body)
		is.NoErr(err)
		is.Equal(string(body), path)
	}
}

func TestNonIdempotentCallIsOneAttempt(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 1, services: 3})
	for _, s := range f.services {
		is.NoErr(s.SetFaults(service.Faults{DieAt: service.PointAccept, DieCalls: -1}))
	}
	r := f.send(0, http.MethodPost, "/corrections/1", "x")
	is.Equal(outcome(r), api.OutcomeUnknown)
	is.Equal(r.Header.Get("X-Should-Retry"), "false")
	is.Equal(f.executedCalls(), int64(0))
	f.serviceServers[0].Crash()
	f.serviceServers[1].Crash()
	is.NoErr(f.services[2].SetFaults(service.Faults{}))
	for range 5 {
		r := f.send(0, http.MethodPost, "/corrections/1", "x")
		is.Equal(outcome(r), api.OutcomeDone) // a target that refuses the connection does not use up the attempt
	}
	is.Equal(f.executedCalls(), int64(5))
	f.serviceServers[2].Crash()
	r = f.send(0, http.MethodPost, "/corrections/1", "x")
	is.Equal(outcome(r), api.OutcomeNotRun)
	is.Equal(r.StatusCode, http.StatusServiceUnavailable)
}

func TestIdempotentCallRetriesOnAnotherTarget(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 1, services: 2})
	is.NoErr(f.services[0].SetFaults(service.Faults{DieAt: service.PointMidBody, DieCalls: -1}))
	for range 6 {
		r := f.send(0, http.MethodGet, "/log/entries?from=3", "")
		is.Equal(r.StatusCode, http.StatusOK)
		is.True(strings.Contains(bodyText(t, r), `"path":"/log/entries"`))
	}
}

func TestTokenIsNotForwardedAndUnmatchedPathIsNotFound(t *testing.T) {
	is := is.New(t)
	var seen atomic.Value
	l := newListener(t)
	srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen.Store(r.Header.Clone()) })}
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { srv.Close() })
	f := newFleet(t, fleetOptions{gates: 1, tables: func(tb *config.Tables) {
		tb.Pools[1].Targets = []config.Target{{Name: "s", Address: l.Addr().String(), AvailabilityZone: zone}}
	}})
	is.Equal(f.send(0, http.MethodGet, "/log/x", "", api.HeaderDeadline, "5000").StatusCode, http.StatusOK)
	h := seen.Load().(http.Header)
	is.Equal(h.Get("Authorization"), "")
	is.True(h.Get(api.HeaderDeadline) != "")
	is.Equal(f.send(0, http.MethodGet, "/logs", "").StatusCode, http.StatusNotFound)
}

func TestBoundsOnRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 1, engines: 1, services: 1})
	r := f.send(0, http.MethodPost, "/corrections/1", strings.Repeat("x", 1<<20+1))
	is.Equal(r.StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(outcome(r), api.OutcomeNotRun)
	deep := `{"model":"m","prompt":` + strings.Repeat("[", 100) + strings.Repeat("]", 100) + `}`
	for _, body := range []string{deep, `{"model":1}`, `{"model":"drafting","prompt":""}`, `{"model":"drafting","prompt":"p","max_tokens":0}`, `{"model":"drafting","prompt":"p","n":2}`, `{`} {
		r := f.send(0, http.MethodPost, "/v1/completions", body)
		is.Equal(r.StatusCode, http.StatusBadRequest)
		is.Equal(errorCode(t, r), api.CodeBadRequest)
	}
	r = f.send(0, http.MethodPost, "/v1/completions", `{"model":"drafting","prompt":"p"}`, api.HeaderDeadline, "soon")
	is.Equal(r.StatusCode, http.StatusBadRequest)
	is.Equal(f.executedCalls(), int64(0))
}

func TestReadTimeoutAppliesToRequestBodyOnly(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 1, services: 1, readTimeout: 100 * time.Millisecond})
	is.NoErr(f.services[0].SetFaults(service.Faults{DelayMs: 400}))
	r := f.send(0, http.MethodPost, "/corrections/1", "whole at once")
	is.Equal(r.StatusCode, http.StatusOK) // the timeout applies to the request body, not to the answer

	c, err := net.Dial("tcp", strings.TrimPrefix(f.gates[0].http, "http://"))
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /corrections/2 HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer "+editorToken+"\r\nContent-Length: 10\r\n\r\nhalf")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	is.Equal(outcome(resp), api.OutcomeNotRun)
	is.Equal(f.executedCalls(), int64(1))
}
