// Package usage counts the plain requests that targets began to run, by window of time and organisation, and reports the counts to the
// platform's API. Each VM appends what it counted to the store. The VM that has the duty fixes the counts of each window that has ended by
// a record in the store, and sends what is fixed, so that all reports of a window are equal.
//
// Counter and Ledger are free of I/O and of clocks; Service runs them.
package usage

import (
	"encoding/json"
	"fmt"
	"time"
)

// Topics of the store.
const (
	// TopicCounts holds what the VMs counted.
	TopicCounts = "usage"
	// TopicReports holds the fixed counts; the first record of a window in log order is valid.
	TopicReports = "usage-reports"
)

// maxCountPartitions is the number of partitions of TopicCounts that are used. A partition takes about 500 appends a second, and 383 VMs make
// up to 1.25 appends a second each. The holder reads each of them once a second.
const maxCountPartitions = 2

// countRecord is a record of TopicCounts. Readers ignore fields that they don't know.
type countRecord struct {
	VM string `json:"vm"`
	// Process identifies the process; it changes with each restart.
	Process string `json:"process"`
	// Seq rises by one with each record of the process. A record that was appended twice has the same number.
	Seq int64 `json:"seq"`
	// AtMs is the VM's time of day when it began this append, in Unix milliseconds.
	AtMs int64 `json:"at_ms,omitempty"`
	// Counts holds the number of requests by window and organisation. It is negative for requests that were counted and proved not to have
	// been run.
	Counts map[int64]map[string]int64 `json:"counts"`
}

// reportRecord is a record of TopicReports.
type reportRecord struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
	// VM and Token are those of the holder that fixed the counts.
	VM    string `json:"vm"`
	Token int64  `json:"token"`
	// From are the offsets in the partitions of TopicCounts from which on all records of later windows are found.
	From []int64 `json:"from,omitempty"`
	// Done is the number of a window: it and those before it were sent, or their time has passed. 0 if none is known.
	Done int64 `json:"done,omitempty"`
}

func decode[T any](data []byte) (*T, error) {
	r := new(T)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("usage record: %w", err)
	}
	return r, nil
}

// windowAt returns the number of the window that holds a time.
func windowAt(t time.Time, length time.Duration) int64 {
	n := t.UnixNano()
	w := n / int64(length)
	if n%int64(length) < 0 {
		w--
	}
	return w
}

// windowEnd returns the end of a window.
func windowEnd(w int64, length time.Duration) time.Time { return time.Unix(0, (w+1)*int64(length)) }
