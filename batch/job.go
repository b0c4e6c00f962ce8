package batch

import (
	"slices"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
)

// jobState is where an item of an open submission stands on the VM that runs it.
type jobState int

const (
	waiting jobState = iota
	running
	scoring
	// settled items have a result that waits to be read back.
	settled
)

// job is an item of an open submission. The runner's lock guards it.
type job struct {
	entry *entry
	sub   *Head
	item  *Item
	part  *partition
	state jobState
	// text and versions are the events that were received, and what made each.
	text     []string
	versions []int64
	// errors counts the engines' answers of 500, scorerErrors those of the scorer's targets.
	errors, scorerErrors int
	on                   *fleet.Instance
	avoid                string
	notBefore            time.Time
	cancel               func()
	carried              bool
	startedAt            time.Time
	// moving is set when the run is ended in favour of a faster engine.
	moving bool
	// whole is set where the text was saved as a whole one.
	whole bool
	// saved is the number of events that were written to the log, savedAt when.
	saved   int
	savedAt time.Time
}

// distinct returns the versions that made the text, ascending.
func (j *job) distinct() []int64 {
	out := slices.Clone(j.versions)
	slices.Sort(out)
	return slices.Compact(out)
}

// resumable drops a text that may not be continued under the submission's rules.
func (j *job) resumable(single bool) {
	if !fits(j.distinct(), j.sub.MinVersion, single) {
		j.text, j.versions, j.saved = nil, nil, 0
	}
}

// result returns the item's result and its text.
func (j *job) result(score string) (listing, string) {
	return listing{ItemID: j.item.ID, Versions: j.distinct(), Score: score, ScorerID: j.item.scorerID()}, strings.Join(j.text, "\n")
}

// abandoned is the result of an item that was given up.
func (j *job) abandoned() listing { return listing{ItemID: j.item.ID, Abandoned: true} }

// left estimates the number of events that the item still needs. An item that is longer than its
// estimate is believed to need a good part of what it had so far.
func (j *job) left(tokensPerEvent int) int {
	events := typicalEvents
	if j.item.ExpectedTokens > 0 && tokensPerEvent > 0 {
		events = (j.item.ExpectedTokens + tokensPerEvent - 1) / tokensPerEvent
	}
	return max(1, events-len(j.text), len(j.text)/overrunShare)
}

// overrunShare is the part of an overlong text that is expected to follow, as a divisor.
const overrunShare = 3

// progress returns the part of the text that was not saved yet.
func (j *job) progress(writer string) *Progress {
	return &Progress{
		ItemID: j.item.ID, Writer: writer, From: j.saved,
		Events: slices.Clone(j.text[j.saved:]), Versions: slices.Clone(j.versions[j.saved:]), Whole: j.state == scoring,
	}
}

// typicalEvents is the length of an item whose caller gave no estimate.
const typicalEvents = 25
