package detour

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/targets"
)

// Limits of the calls that a VM passes on at the same time.
const (
	maxCalls      = 96
	maxCallsSmall = 24
)

// streamBufferBytes is the size of the buffer in which a response is passed on.
const streamBufferBytes = 8 << 10

// writeTimeout bounds one write to a VM that does not read.
const writeTimeout = 5 * time.Second

// Server passes the calls of other VMs on to targets. It sends them directly only, so that no call passes through two VMs.
type Server struct {
	// Client is the client of this VM's own calls.
	Client *Client
	// Direct sends a call directly and records what the target states in its answer.
	Direct targets.Client
	// Draining reports whether a target takes no new requests.
	Draining func(in *fleet.Instance) bool
	// Small is set if this VM has little processing power.
	Small bool

	calls atomic.Int64
}

// drainPoll is the time between two looks whether the calls that are passed on have ended.
const drainPoll = 20 * time.Millisecond

// Drain waits until all calls that are passed on have ended, or ctx ends. Call it after StopPassingOn.
func (s *Server) Drain(ctx context.Context) {
	for s.calls.Load() > 0 && ctx.Err() == nil {
		process.Sleep(ctx, drainPoll)
	}
}

// directClient sends calls directly and records what they show of the paths.
type directClient struct {
	targets.Client
	c *Client
}

// Do implements targets.Client.
func (d directClient) Do(ctx context.Context, call *targets.Call) (*targets.Response, error) {
	return d.c.direct(ctx, call)
}

// Direct returns a client that sends calls directly only.
func (c *Client) Direct() targets.Client { return directClient{c.opts.Targets, c} }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limit := int64(maxCalls)
	if s.Small {
		limit = maxCallsSmall
	}
	defer s.calls.Add(-1)
	if s.calls.Add(1) > limit {
		s.decline(w, &callHead{}, declinedBusy) // without reading the call
		return
	}
	body := bufio.NewReader(http.MaxBytesReader(w, r.Body, maxHeadBytes+maxBodyBytes))
	head := &callHead{}
	if err := readHead(body, head); err != nil {
		http.Error(w, "detour: "+err.Error(), http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(body)
	if err != nil {
		http.Error(w, "detour: "+err.Error(), http.StatusBadRequest)
		return
	}
	in, reason := s.admit(head)
	if reason != "" {
		s.decline(w, head, reason)
		return
	}
	if head.Probe {
		s.answerProbe(w, r, head, in)
		return
	}
	fresh := s.Client.reachesTargets(time.Now())
	if head.Scout {
		if !fresh && s.Client.Connect(r.Context(), in) != nil {
			s.declineMissed(w, head, in)
			return
		}
		s.writeHead(w, &answerHead{RequestID: head.RequestID, Status: http.StatusOK})
		return
	}
	call := head.call(in, data)
	call.NewConnection = call.NewConnection || !fresh // an open connection may be dead
	resp, err := s.Direct.Do(r.Context(), call)
	if err != nil {
		if !targets.Sent(err) {
			s.declineMissed(w, head, in)
			return
		}
		if errors.Is(err, targets.ErrPathLost) {
			s.decline(w, head, pathLost)
			return
		}
		s.decline(w, head, brokenOff)
		return
	}
	defer resp.Body.Close()
	s.Client.events.Add("passed_on.served", 1)
	s.passOn(w, head, resp)
}

// admit returns the target of a call, or why this VM does not pass the call on.
func (s *Server) admit(h *callHead) (*fleet.Instance, declineReason) {
	in := find(s.Client.opts.View, h)
	if in == nil {
		return nil, declinedUnknown
	}
	s.Client.mu.Lock()
	defer s.Client.mu.Unlock()
	switch {
	case s.Client.stopping:
		return nil, declinedStopping
	case s.Client.paths.stranded:
		return nil, declinedStranded
	case !s.Client.paths.direct(in.Key()):
		return nil, declinedMissed
	case s.Draining(in):
		return nil, declinedDraining
	}
	return in, ""
}

func (s *Server) decline(w http.ResponseWriter, head *callHead, reason declineReason) {
	s.Client.events.Add("passed_on."+string(reason), 1)
	s.writeHead(w, &answerHead{RequestID: head.RequestID, Declined: reason})
}

// answerProbe answers whether a connection to the target opens.
func (s *Server) answerProbe(w http.ResponseWriter, r *http.Request, head *callHead, in *fleet.Instance) {
	switch err := s.Client.Connect(r.Context(), in); {
	case err == nil:
		s.writeHead(w, &answerHead{RequestID: head.RequestID, Status: http.StatusOK})
	case targets.Refused(err) && s.Client.reachesAnother(r.Context(), in):
		s.decline(w, head, declinedRefused)
	default:
		s.decline(w, head, declinedMissed)
	}
}

// declineMissed declines a call because its target was not reached. The paths are checked, so that the next call is declined at once if
// this VM reaches no target.
func (s *Server) declineMissed(w http.ResponseWriter, head *callHead, in *fleet.Instance) {
	reason := declinedMissed
	if !s.Client.reachesTargets(time.Now()) {
		reason = declinedStranded
	}
	s.Client.checkPaths(in, true)
	s.decline(w, head, reason)
}

// passOn writes a target's response, event by event.
func (s *Server) passOn(w http.ResponseWriter, head *callHead, resp *targets.Response) {
	rc := http.NewResponseController(w)
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }() // an error ends the connection anyway
	s.writeHead(w, newAnswerHead(head, resp))
	buf := make([]byte, streamBufferBytes)
	for {
		if resp.Length < 0 {
			s.must(rc.Flush())
		}
		n, err := resp.Body.Read(buf)
		if n > 0 {
			s.must(rc.SetWriteDeadline(time.Now().Add(writeTimeout)))
			_, werr := w.Write(buf[:n])
			s.must(werr)
		}
		if err == io.EOF {
			return
		}
		s.must(err)
	}
}

// writeHead writes the head of a response.
func (s *Server) writeHead(w http.ResponseWriter, h *answerHead) {
	data, err := encodeHead(h)
	s.must(err)
	_, err = w.Write(data)
	s.must(err)
}

// must ends the response if err is set, so that the other VM sees that it is incomplete.
func (s *Server) must(err error) {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// find returns the registered instance of a call; nil if this VM does not know it.
func find(view *fleet.View, h *callHead) *fleet.Instance {
	for _, in := range view.Get().Instances {
		if in.Name == h.Target && in.StartedMs == h.StartedMs {
			return in
		}
	}
	return nil
}
