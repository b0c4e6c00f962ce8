// Package batch stores and runs batch submissions: many requests that are submitted at once and run
// later, such as the samples of a trainer's step. A submission, each of its results and its end are
// records of one partition of the platform's log. The order of the records is authoritative: the first
// submission with an ID and the first result of an item win, and results are listed in log order. Every
// VM that reads the partition therefore returns the same results, and submissions and results survive
// the loss of any VM. The VM to which the store assigns a partition runs the items of its submissions.
// If two VMs do so at once, work is wasted but no result is duplicated.
package batch

import (
	"errors"
	"fmt"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/promptcache"
)

// Submission is a batch of items submitted by a caller.
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
	// Route is the route that they selected; Submit sets it.
	Route *AcceptedRoute `json:"route,omitempty"`
	// Organisation is the name of the organisation that submitted the batch and owns its results; empty if it has none.
	Organisation string `json:"organisation,omitempty"`
	// Priority is that of the organisation when it submitted the batch; nil if the route's holds.
	Priority *config.Priority `json:"priority,omitempty"`
	// Step is the number of the trainer's step.
	Step  int64  `json:"step,omitempty"`
	Model string `json:"model,omitempty"`
	// MinVersion is the oldest weight version that may generate tokens of the step.
	MinVersion int64 `json:"min_version,omitempty"`
	// NewestVersion is the newest version that was named, or run by an engine, when the submission was accepted.
	NewestVersion int64 `json:"newest_version,omitempty"`
	// ExpectedTokens is the caller's estimate of the output of all items, in tokens.
	ExpectedTokens int64 `json:"expected_tokens,omitempty"`
	// WantGroups is the number of complete groups that the trainer waits for.
	WantGroups int `json:"want_groups,omitempty"`
	// AcceptedMs is the time of arrival in Unix milliseconds, by the clock of the VM that accepted the submission.
	AcceptedMs int64 `json:"accepted_ms"`
}

// scorerID returns the ID of the request that scores the item, or "" if there is none.
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
	// Tokens is the number of prompt tokens plus the maximum number of output tokens.
	Tokens int `json:"tokens,omitempty"`
	// ExpectedTokens is the caller's estimate of the output in tokens; 0 if there is none.
	ExpectedTokens int `json:"expected_tokens,omitempty"`
	// Prompt is the item's prompt by its parts, of which other items may share all but the last; nil if unknown.
	Prompt []promptcache.Part `json:"prompt,omitempty"`
	// Group names the items that share a prompt.
	Group  string  `json:"group,omitempty"`
	Scorer *Scorer `json:"scorer,omitempty"`
}

// Scorer is the request that scores an item; the proof in its response is the score.
type Scorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body,omitempty"`
}

// Result is the result of an item.
type Result struct {
	ItemID string
	// Abandoned is set if the item could not be completed; the result has no text then.
	Abandoned bool
	Text      string
	// Versions are the weight versions that generated the text, ascending.
	Versions []int64
	Score    string
}

// Progress is a part of an unfinished text, saved so that another VM can continue it.
type Progress struct {
	ItemID string `json:"item"`
	// Writer identifies the process that received the text, and which of its texts this is; parts of two writers are never joined.
	Writer string `json:"writer"`
	// Software is the software version of the engines that generated the events.
	Software string `json:"software,omitempty"`
	// From is the number of events before this part.
	From     int      `json:"from"`
	Events   []string `json:"events"`
	Versions []int64  `json:"versions"`
	// Complete is set if this part completes the text.
	Complete bool `json:"whole,omitempty"`
	// EngineErrors and ScorerErrors count the error responses so far, at all VMs.
	EngineErrors int `json:"engine_errors,omitempty"`
	ScorerErrors int `json:"scorer_errors,omitempty"`
}

// Page is a part of a submission's results. Total is the number of its items, Next the position after the page.
type Page struct {
	Total   int
	Results []Result
	Next    int
}

// ErrNotFound is returned if there is no such submission or item.
var ErrNotFound = errors.New("no such batch, or its time is over")

// ErrOutcomeUnknown is returned if a submission or its end may or may not have been stored. Repeating the call is safe.
var ErrOutcomeUnknown = errors.New("the store did not answer; submit the batch again under the same ID")

// InvalidError is returned for a submission that can't be accepted.
type InvalidError struct{ Problem string }

func (e *InvalidError) Error() string { return "batch: " + e.Problem }

// UnavailableError is returned if a call had no effect because the store is unavailable. The caller should retry
// after RetryAfter.
type UnavailableError struct {
	RetryAfter time.Duration
	Cause      error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("not done, come back in %s: %v", e.RetryAfter, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// Validate returns an *InvalidError if an ID, the items or a path is missing, or if an item ID is used twice.
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
