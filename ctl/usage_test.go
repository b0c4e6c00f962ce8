package ctl

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/entry"
	"github.com/ibistrail/ibistrail/usage"
)

// TestUsageRows covers the table of a deployment without the duty, whose dump has no such part, and that of a VM that does not hold it.
func TestUsageRows(t *testing.T) {
	is := is.New(t)
	is.Equal(len(usageRows(&entry.State{})), 0)
	rows := usageRows(&entry.State{Usage: &usage.State{Pending: 3, Holder: "vm-1/7", Windows: []usage.WindowState{
		{Window: 353445120, Start: time.Unix(1_767_225_600, 0), Status: usage.StatusSent, Counts: map[string]int64{"sara2": 2, "hule930": 412}},
		{Window: 353445121, Start: time.Unix(1_767_225_605, 0), Status: usage.StatusMissed, Reason: "the store did not answer"},
	}}})
	is.Equal(rows, [][]string{
		{"-", "-", "holder is vm-1/7", "3 pending", "-"},
		{"353445120", "2026-01-01T00:00:00Z", "sent", "hule930:412 sara2:2", "-"},
		{"353445121", "2026-01-01T00:00:05Z", "missed", "-", "the store did not answer"},
	})
}
