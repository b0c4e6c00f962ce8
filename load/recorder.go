package load

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/ibistrail/ibistrail/api"
)

// recorder is a transport that checks each pull and its answer as they pass on the trainer's side,
// before the client package has touched them.
type recorder struct {
	next   http.RoundTripper
	ledger *ledger
	// bounds are the staleness bounds of the trainer's steps.
	bound int64
}

// RoundTrip implements http.RoundTripper.
func (r *recorder) RoundTrip(req *http.Request) (*http.Response, error) {
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

// check compares an answer with the cursor and the version that its pull stated.
func (r *recorder) check(path string, body, data []byte) {
	var pull api.PullRequest
	var resp api.PullResponse
	if json.Unmarshal(body, &pull) != nil || json.Unmarshal(data, &resp) != nil {
		r.ledger.problem(&r.ledger.tally.Wrong, "%s: pull or answer does not decode", path)
		return
	}
	seen := map[int]bool{}
	for _, s := range resp.Samples {
		if seen[s.Slot] || pull.Cursor.Has(s.Slot) {
			r.ledger.problem(&r.ledger.tally.Doubled, "%s: slot %d is in the cursor or twice in a batch", path, s.Slot)
		}
		seen[s.Slot] = true
		if o := oldest(s.Spans); o < pull.TrainerVersion-r.bound {
			r.ledger.problem(&r.ledger.tally.Stale, "%s: slot %d is of version %d, the pull stated %d with bound %d", path, s.Slot, o, pull.TrainerVersion, r.bound)
		}
	}
}

func oldest(spans []api.Span) int64 {
	o := int64(0)
	for i, s := range spans {
		if i == 0 || s.Version < o {
			o = s.Version
		}
	}
	return o
}
