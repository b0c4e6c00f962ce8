package load

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/ibistrail/ibistrail/api"
)

// pullChecker is an http.RoundTripper that checks each pull response against its request before the client
// package processes it.
type pullChecker struct {
	next    http.RoundTripper
	checker *checker
	// stalenessBound is the bound of the trainer's steps, in versions.
	stalenessBound int64
}

// RoundTrip forwards the request and checks the response if the request is a pull.
func (r *pullChecker) RoundTrip(req *http.Request) (*http.Response, error) {
	if !strings.HasSuffix(req.URL.Path, "/pull") {
		return r.next.RoundTrip(req)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	resp, err := r.next.RoundTrip(req)
	if err != nil || resp.StatusCode != http.StatusOK {
		return resp, err
	}
	data, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	resp.Body = io.NopCloser(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	r.check(req.URL.Path, body, data)
	return resp, nil
}

// check verifies that a response repeats no slot of the pull's cursor and respects the staleness bound at the
// trainer version stated in the pull.
func (r *pullChecker) check(path string, body, data []byte) {
	var pull api.PullRequest
	var resp api.PullResponse
	if json.Unmarshal(body, &pull) != nil || json.Unmarshal(data, &resp) != nil {
		r.checker.recordViolation(&r.checker.tally.Wrong, "%s: pull or answer does not decode", path)
		return
	}
	seen := map[int]bool{}
	for _, s := range resp.Samples {
		if seen[s.Slot] || pull.Cursor.Has(s.Slot) {
			r.checker.recordViolation(&r.checker.tally.Doubled, "%s: slot %d is in the cursor or twice in a batch", path, s.Slot)
		}
		seen[s.Slot] = true
		if o := oldestVersion(s.Spans); o < pull.TrainerVersion-r.stalenessBound {
			r.checker.recordViolation(&r.checker.tally.Stale, "%s: slot %d is of version %d, the pull stated %d with bound %d", path, s.Slot, o, pull.TrainerVersion, r.stalenessBound)
		}
	}
}

func oldestVersion(spans []api.Span) int64 {
	o := int64(0)
	for i, s := range spans {
		if i == 0 || s.Version < o {
			o = s.Version
		}
	}
	return o
}
