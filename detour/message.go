package detour

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/targets"
)

// Path is the path of the calls between VMs.
const Path = "/targets"

// Limits of a message between VMs.
const (
	maxHeadBytes = 1 << 20
	maxBodyBytes = 32 << 20
)

// callHead is a call that another VM is asked to pass on to a target. The body of the call follows it.
type callHead struct {
	Target    string      `json:"target"`
	StartedMs int64       `json:"started_ms,omitempty"`
	Method    string      `json:"method"`
	Host      string      `json:"host"`
	URI       string      `json:"uri"`
	Header    http.Header `json:"header,omitempty"`
	RequestID string      `json:"id"`
	// Organisation is what the target is told; VMs of earlier builds ignore it.
	Organisation string `json:"organisation,omitempty"`
	BudgetMs     int64  `json:"budget_ms,omitempty"`
	Priority     int    `json:"priority"`
	ResumeAfter  int64  `json:"resume_after,omitempty"`
	// Scout asks only whether the VM would pass calls to the target on, Probe only whether a connection to the target opens now.
	Scout bool `json:"scout,omitempty"`
	Probe bool `json:"probe,omitempty"`
	// Once is set if the call must not be sent twice.
	Once bool `json:"once,omitempty"`
}

// declineReason is why a VM did not pass a call on. Nothing was sent to the target then, except for pathLost and brokenOff.
type declineReason string

const (
	declinedStranded declineReason = "stranded" // the VM reaches no target
	declinedMissed   declineReason = "missed"   // it does not reach this one
	declinedBusy     declineReason = "busy"     // it has no room
	declinedStopping declineReason = "stopping"
	declinedUnknown  declineReason = "unknown"  // it does not know the target, or not this instance
	declinedDraining declineReason = "draining" // it was told that the target takes no new requests
	// declinedRefused answers a probe: nothing listens at the target's address, while another target is reached.
	declinedRefused declineReason = "refused"
	// pathLost says that the VM has sent the call and lost its path to the target before the answer, so that the target may have run it.
	pathLost declineReason = "path lost"
	// brokenOff says that the target broke off a call that the VM had sent, and may have run it.
	brokenOff declineReason = "broken off"
)

// answerHead is the response of a VM: that of the target, whose body follows, or a refusal.
type answerHead struct {
	RequestID     string        `json:"id,omitempty"` // that of the call
	Declined      declineReason `json:"declined,omitempty"`
	Status        int           `json:"status,omitempty"`
	Header        http.Header   `json:"header,omitempty"`
	Length        int64         `json:"length,omitempty"`
	NotExecuted   bool          `json:"not_executed,omitempty"`
	WrongInstance bool          `json:"wrong_instance,omitempty"`
	Proof         string        `json:"proof,omitempty"`
	Version       int64         `json:"version,omitempty"`
	Load          *targets.Load `json:"load,omitempty"`
	RateLimit     *float64      `json:"rate_limit,omitempty"`
	Draining      bool          `json:"draining,omitempty"`
}

func newCallHead(c *targets.Call) *callHead {
	h := &callHead{
		Target: c.Instance.Name, StartedMs: c.Instance.StartedMs, Method: c.Method, Host: c.Host, URI: c.URI, Header: c.Header,
		RequestID: c.RequestID, Organisation: c.Organisation, Priority: c.Priority, ResumeAfter: c.ResumeAfter, Once: c.NewConnection,
	}
	if c.Budget > 0 {
		h.BudgetMs = max(1, c.Budget.Milliseconds())
	}
	return h
}

// call returns the call to pass on.
func (h *callHead) call(in *fleet.Instance, body []byte) *targets.Call {
	if h.Header == nil {
		h.Header = http.Header{} // an empty one is not sent
	}
	return &targets.Call{
		Instance: in, Method: h.Method, Host: h.Host, URI: h.URI, Header: h.Header, Body: body, RequestID: h.RequestID, Organisation: h.Organisation,
		Budget: time.Duration(h.BudgetMs) * time.Millisecond, Priority: h.Priority, ResumeAfter: h.ResumeAfter, NewConnection: h.Once,
	}
}

func newAnswerHead(h *callHead, r *targets.Response) *answerHead {
	return &answerHead{
		RequestID: h.RequestID, Status: r.Status, Header: r.Header, Length: r.Length, NotExecuted: r.NotExecuted, WrongInstance: r.WrongInstance, Proof: r.Proof,
		Version: r.Version, Load: r.Load, RateLimit: r.RateLimit, Draining: r.Draining,
	}
}

// response returns the target's response, which came through a VM.
func (h *answerHead) response(via string, body io.ReadCloser) *targets.Response {
	if h.Header == nil {
		h.Header = http.Header{}
	}
	return &targets.Response{
		Status: h.Status, Header: h.Header, Length: h.Length, NotExecuted: h.NotExecuted, WrongInstance: h.WrongInstance, Proof: h.Proof,
		Version: h.Version, Load: h.Load, RateLimit: h.RateLimit, Draining: h.Draining, Body: body, Via: via,
	}
}

// encodeHead encodes a head with its length in front.
func encodeHead(head any) ([]byte, error) {
	data, err := json.Marshal(head)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...), nil
}

var errHeadTooLong = errors.New("the head of the message is too long")

// readHead decodes the head of a message.
func readHead(r *bufio.Reader, head any) error {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return fmt.Errorf("read the head: %w", err)
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxHeadBytes {
		return errHeadTooLong
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return fmt.Errorf("read the head: %w", err)
	}
	return json.Unmarshal(data, head)
}
