package detour

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/httpcheck"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/targets"
)

const (
	// scoutTimeout bounds the question whether a VM reaches a target. It must cover the probe of a path.
	scoutTimeout = 500 * time.Millisecond
	// maxProbers is the number of VMs that are asked to confirm that a target has ended.
	maxProbers = 3
)

// scout asks several VMs at once whether they reach a target, and returns when one does or none is left: the VMs that are cut off as well
// take long to notice.
func (c *Client) scout(ctx context.Context, in *fleet.Instance) {
	c.mu.Lock()
	scouts := c.peers.scouts(time.Now(), in.Key())
	c.mu.Unlock()
	found := make(chan bool, len(scouts))
	for _, p := range scouts {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), scoutTimeout)
			defer cancel()
			reason, err := c.question(ctx, p, &callHead{Target: in.Name, StartedMs: in.StartedMs, Scout: true})
			c.recordAsked(context.Background(), p, in.Key(), reason, err) // a VM that does not answer within scoutTimeout is no good
			found <- reason == "" && err == nil
		}()
	}
	for range scouts {
		select {
		case ok := <-found:
			if ok {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// probeFromPeers asks several VMs whether a connection to a target opens. It returns as soon as one has reached it; refused is set if one
// was refused.
func (c *Client) probeFromPeers(ctx context.Context, in *fleet.Instance) (reached, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, scoutTimeout)
	defer cancel()
	c.mu.Lock()
	asked := c.peers.scouts(time.Now(), in.Key())
	c.mu.Unlock()
	asked = asked[:min(len(asked), maxProbers)]
	answers := make(chan declineReason, len(asked))
	for _, p := range asked {
		go func() {
			reason, err := c.question(ctx, p, &callHead{Target: in.Name, StartedMs: in.StartedMs, Probe: true})
			if err != nil {
				reason = declinedMissed
			}
			answers <- reason
		}()
	}
	for range asked {
		switch <-answers {
		case "":
			return true, refused
		case declinedRefused:
			refused = true
		}
	}
	return false, refused
}

// question asks a VM without a call to pass on. The reason is empty if the answer is yes.
func (c *Client) question(ctx context.Context, p *peer, h *callHead) (declineReason, error) {
	resp, reason, err := c.ask(ctx, p, h, nil)
	if resp != nil {
		resp.Body.Close()
	}
	return reason, err
}

// recordAsked records how a VM answered. If ctx has ended, the caller gave up, or the target was slow, which says nothing about the VM.
func (c *Client) recordAsked(ctx context.Context, p *peer, target fleet.Key, reason declineReason, err error) {
	outcome := string(reason)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case reason != "":
		p.declined(now, target, reason)
	case err == nil:
		outcome = "served"
		p.served(now, target)
	case ctx.Err() == nil:
		outcome = "unanswered"
		c.opts.Log.Warn("detour_unanswered", "vm", p.Name, "target", target.ID, "err", err)
		p.silent(now)
	}
	if outcome != "" {
		c.events.Add(outcome, 1)
	}
}

// throughPeers sends a call through other VMs, one after the other, until one passes it on. The error is a noPathError if none did; another
// error means that the target may have run the call. With scout, several VMs are asked first if none is known to reach targets.
func (c *Client) throughPeers(ctx context.Context, call *targets.Call, begin time.Time, scout bool) (*targets.Response, error) {
	target := call.Instance.Key()
	c.mu.Lock()
	scout = scout && !c.peers.good(time.Now(), target)
	c.mu.Unlock()
	if scout {
		c.scout(ctx, call.Instance)
	}
	tried := map[string]bool{}
	noPath := &noPathError{}
	missed := 0
	for len(tried) < maxPeerTries && missed < maxMissedTries && ctx.Err() == nil {
		c.mu.Lock()
		p := c.peers.pick(time.Now(), target, tried)
		c.mu.Unlock()
		if p == nil {
			break
		}
		tried[p.Name] = true
		callCtx := ctx
		if call.Connected != nil {
			callCtx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { call.Connected(i.Reused) }})
		}
		resp, reason, err := c.ask(callCtx, p, newCallHead(withBudget(call, begin)), call.Body)
		c.recordAsked(ctx, p, target, reason, err)
		if err != nil {
			noPath.asked = append(noPath.asked, fmt.Sprintf("%s: %v", p.Name, err))
		} else {
			noPath.asked = append(noPath.asked, fmt.Sprintf("%s: %s", p.Name, reason))
		}
		switch {
		case reason == pathLost:
			return nil, errPathLost
		case reason == brokenOff:
			return nil, fmt.Errorf("%s broke off the call that %s passed on", call.Instance.Name, p.Name)
		case reason == declinedMissed:
			missed++
		case reason == "" && (err == nil || targets.Sent(err)):
			return resp, err
		}
	}
	if missed >= maxMissedTries {
		c.recordEnded(target)
	}
	return nil, noPath
}

// ask asks a VM to pass a call on. It returns the target's response, why the VM declined, or an error, which wraps targets.ErrNotSent
// if the VM was not reached.
func (c *Client) ask(ctx context.Context, p *peer, h *callHead, data []byte) (*targets.Response, declineReason, error) {
	head, err := encodeHead(h)
	if err != nil {
		return nil, "", targets.NotSent(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.RelayAddress+Path, io.MultiReader(bytes.NewReader(head), bytes.NewReader(data)))
	if err != nil {
		return nil, "", targets.NotSent(err)
	}
	req.ContentLength = int64(len(head) + len(data))
	transport := c.pooled
	if h.Once {
		transport = c.unpooled
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		if process.DialFailed(err) {
			err = targets.NotSent(err)
		}
		c.pooled.CloseIdleConnections() // those that were open in an outage may stay silent for good
		return nil, "", err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, declinedUnknown, nil // a VM of an earlier release
	}
	body := bufio.NewReader(resp.Body)
	answer := &answerHead{}
	if err := readHead(body, answer); err != nil {
		resp.Body.Close()
		return nil, "", err
	}
	if answer.RequestID != h.RequestID && answer.Declined != declinedBusy {
		resp.Body.Close() // the body is unread, so this closes the connection too
		return nil, "", fmt.Errorf("%s answered request %.40q in the place of %s", p.Name, answer.RequestID, h.RequestID)
	}
	if answer.Declined != "" {
		resp.Body.Close()
		return nil, answer.Declined, nil
	}
	if err := httpcheck.CheckHead(answer.Status, answer.Header); err != nil {
		resp.Body.Close() // a VM of an earlier build passes on what its target sent
		c.opts.Log.Warn("detour_broken_answer", "id", h.RequestID, "vm", p.Name, "target", h.Target, "err", err)
		return nil, brokenOff, nil
	}
	return answer.response(p.Name, &peerBody{body, resp.Body}), "", nil
}

// peerBody is the body of a response that came through another VM.
type peerBody struct {
	io.Reader
	io.Closer
}
