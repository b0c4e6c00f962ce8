// Package batch keeps batch submissions: many requests that are submitted at once and run later,
// such as the samples of a trainer's step. A submission, each result and its end are records of one
// partition of the platform's log, and the order of records decides: the first submission with an
// ID holds, the first result of an item holds and its place among the results is its position. So
// every VM that reads the partition lists the same, and no VM has to survive. The VM that the store
// gives a partition to runs the items of its submissions; two VMs that do so at once waste work
// but cannot double a result.
package batch

import (
	"errors"
	"fmt"
	"time"
)

// Submission is a batch that a caller hands in.
type Submission struct {
	Head
	Items []Item
}

// Head is a submission without its items.
type Head struct {
	ID string `json:"id"`
	// Host and Path are those of the submitting request; they select the route of the items.
	Host string `json:"host"`
	Path string `json:"path"`
	// Step counts a trainer's steps.
	Step  int64  `json:"step,omitempty"`
	Model string `json:"model,omitempty"`
	// MinVersion is the oldest weight version that may make a token of the step.
	MinVersion int64 `json:"min_version,omitempty"`
	// NewestVersion is the newest version that was named, or run by an engine, at the acceptance.
	NewestVersion int64 `json:"newest_version,omitempty"`
	// ExpectedTokens is the callers' estimate of the output of all items.
	ExpectedTokens int64 `json:"expected_tokens,omitempty"`
	// WantGroups is the number of whole groups that the trainer waits for.
	WantGroups int `json:"want_groups,omitempty"`
	// AcceptedMs is when the submission arrived, by the clock of the VM that took it.
	AcceptedMs int64 `json:"accepted_ms"`
}

// scorerID names the request that scores the item; empty if there is none.
func (i *Item) scorerID() string {
	if i.Scorer == nil {
		return ""
	}
	return i.Scorer.ID
}

// Item is one request of a submission.
type Item struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	// Tokens is the number of prompt tokens and the largest number of output tokens together.
	Tokens int `json:"tokens,omitempty"`
	// ExpectedTokens is the caller's estimate of the output; 0 if there is none.
	ExpectedTokens int `json:"expected_tokens,omitempty"`
	// Group names the items that share a prompt.
	Group  string  `json:"group,omitempty"`
	Scorer *Scorer `json:"scorer,omitempty"`
}

// Scorer is the request whose answer's proof is the score of an item.
type Scorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body,omitempty"`
}

// Result is a listed item.
type Result struct {
	ItemID string
	// Abandoned results have no text: the item was given up.
	Abandoned bool
	Text      string
	// Versions are the weight versions that made the text's events, ascending.
	Versions []int64
	Score    string
}

// Progress is a part of an unfinished text, kept so that another VM can continue it.
type Progress struct {
	ItemID string `json:"item"`
	// Writer names the process that received the text; parts of two writers are never joined.
	Writer string `json:"writer"`
	// From is the number of events before this part.
	From     int      `json:"from"`
	Events   []string `json:"events"`
	Versions []int64  `json:"versions"`
	// Whole tells that the text ends with this part.
	Whole bool `json:"whole,omitempty"`
}

// Page is a part of a submission's results.
type Page struct {
	Total   int
	Results []Result
	Next    int
}

// ErrNotFound tells that there is no such submission or item.
var ErrNotFound = errors.New("no such batch, or its time is over")

// ErrUnknown tells that a submission may or may not have been accepted; it can be sent again.
var ErrUnknown = errors.New("the store did not answer; submit the batch again under the same ID")

// InvalidError tells what is wrong with a submission.
type InvalidError struct{ Problem string }

// Error implements error.
func (e *InvalidError) Error() string { return "batch: " + e.Problem }

// UnavailableError tells that nothing was done and when to come back.
type UnavailableError struct {
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("not done, come back in %s: %v", e.RetryAfter, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Validate checks a submission.
func (s *Submission) Validate() error {
	if s.ID == "" {
		return &InvalidError{"the submission has no ID"}
	}
	if len(s.Items) == 0 {
		return &InvalidError{"the submission has no items"}
	}
	seen := make(map[string]bool, len(s.Items))
	for _, it := range s.Items {
		switch {
		case it.ID == "":
			return &InvalidError{"an item has no ID"}
		case seen[it.ID]:
			return &InvalidError{"two items have the ID " + it.ID}
		case it.Path == "" || it.Path[0] != '/':
			return &InvalidError{"item " + it.ID + " has no path"}
		}
		seen[it.ID] = true
	}
	return nil
}
