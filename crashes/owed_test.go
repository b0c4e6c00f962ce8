package crashes

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/quarantine"
	"github.com/ibistrail/ibistrail/wire"
)

// TestOwedRequestsRunAgainAfterPauses gives a request so many deaths that a caller's would be quarantined.
func TestOwedRequestsRunAgainAfterPauses(t *testing.T) {
	for _, tc := range []struct {
		deaths        int
		sinceLast     time.Duration
		item, scoring bool // whether they may run
	}{
		{1, 0, true, true},
		{2, 0, true, true},
		{3, 0, false, false},
		{3, time.Second, true, true},
		{5, 2 * time.Second, true, false},
		{7, 2 * time.Second, false, false},
		{7, 3 * time.Second, true, false},
		{7, 40 * time.Second, true, true},
		{8, 40 * time.Second, true, false}, // beyond the last pause
		{20, 3 * time.Second, true, false},
	} {
		t.Run(fmt.Sprintf("%d deaths, %s ago", tc.deaths, tc.sinceLast), func(t *testing.T) {
			is := is.New(t)
			r := New(Options{Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics()})
			now := time.Now()
			for i := range tc.deaths {
				at := now.Add(-tc.sinceLast - time.Duration(tc.deaths-1-i)*time.Second)
				r.add(now, wire.Death{Fingerprint: "f", Target: fmt.Sprint(i), Boot: "1"}, &deathState{at: at, expires: now.Add(quarantine.SuspectTTL)})
			}
			item := r.AdmitItem("f")
			is.Equal(!item.Rejected, tc.item)
			is.True(item.Suspect) // runs apart from others
			if tc.deaths > 2 {
				is.True(item.Rejected == (item.RetryAfter > 0))
			}
			if tc.deaths <= suspectDeaths+len(scoringPauses) {
				is.Equal(!r.AdmitScoring("f").Rejected, tc.scoring)
			}
		})
	}
}
