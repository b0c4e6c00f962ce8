package logs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stepLines returns log lines from lines of the form "MS VM EVENT key=value...", with MS in milliseconds.
func stepLines(t *testing.T, text string) []*Line {
	t.Helper()
	var in strings.Builder
	for l := range strings.Lines(text) {
		f := strings.SplitN(strings.TrimSpace(l), " ", 4)
		if len(f) < 4 {
			continue
		}
		var at int
		if _, err := fmt.Sscan(f[0], &at); err != nil {
			t.Fatal(err)
		}
		stamp := time.Unix(1_800_000_000, 0).Add(time.Duration(at) * time.Millisecond).UTC().Format("2006-01-02T15:04:05.000Z")
		fmt.Fprintf(&in, "time=%s level=INFO msg=%s node=%s %s\n", stamp, f[2], f[1], f[3])
	}
	lines, unread, err := Read(strings.NewReader(in.String()), "")
	if err != nil || unread > 0 {
		t.Fatal(unread, err)
	}
	return lines
}

func TestExplainStepsDividesTheTimeOfAStep(t *testing.T) {
	for _, tc := range []struct {
		name, lines string
		want        map[Part]int64
	}{
		{"the last item took its time", `
			100 a batch_submit batch=b step=3 ms=100 err=<nil>
			140 h batch_open batch=b step=3 model=m
			1300 h item_run id=short batch=b from_event=0 events=9 ms=1000 first_ms=50 silent_ms=0 outcome=whole
			1400 h item_listed id=short batch=b score_ms=50 append_ms=50
			7140 h item_run id=long batch=b from_event=0 events=180 ms=7000 first_ms=60 silent_ms=0 outcome=whole
			7300 h item_listed id=long batch=b score_ms=100 append_ms=60
			7800 a batch_end batch=b err=<nil>`,
			map[Part]int64{PartAccept: 100, PartOpen: 40, PartFirstEvent: 60, PartEvents: 6940, PartScore: 100, PartAppend: 60, PartUnread: 500}},
		{"the item waited for a version", `
			100 a batch_submit batch=b step=3 ms=100 err=<nil>
			140 h batch_open batch=b step=3 model=m
			150 h items_wait batch=b items=200 engines=40 cooling=0 loading=8 old_version=30 full=2
			1160 h items_wait batch=b items=100 engines=40 cooling=0 loading=8 old_version=20 full=12
			3140 h item_run id=i batch=b from_event=0 events=20 ms=1000 first_ms=0 silent_ms=0 outcome=whole
			3200 h item_listed id=i batch=b score_ms=30 append_ms=30
			3200 a batch_end batch=b err=<nil>`,
			map[Part]int64{PartAccept: 100, PartOpen: 40, PartOldVersion: 2000, PartEvents: 1000, PartScore: 30, PartAppend: 30}},
		{"the holder was lost, and its last second of events", `
			100 a batch_submit batch=b step=3 ms=100 err=<nil>
			100 h batch_open batch=b step=3 model=m
			5000 k batch_open batch=b step=3 model=m
			7000 k item_run id=i batch=b from_event=75 events=125 ms=2000 first_ms=0 silent_ms=0 outcome=whole
			7000 k item_listed id=i batch=b score_ms=0 append_ms=0
			7000 a batch_end batch=b err=<nil>`,
			map[Part]int64{PartAccept: 100, PartEvents: 3000 + 2000, PartNoHolder: 1900}},
		{"a run stalled and lost nothing, another was repeated", `
			100 a batch_submit batch=b step=3 ms=100 err=<nil>
			100 h batch_open batch=b step=3 model=m
			2000 h item_run id=i batch=b from_event=0 events=35 ms=1900 first_ms=0 silent_ms=500 outcome=stalled
			3000 h item_run id=i batch=b from_event=35 events=60 ms=1000 first_ms=0 silent_ms=0 outcome="broken off"
			5000 h item_run id=i batch=b from_event=35 events=85 ms=2000 first_ms=0 silent_ms=0 outcome=whole
			5000 h item_listed id=i batch=b score_ms=0 append_ms=0
			5000 a batch_end batch=b err=<nil>`,
			map[Part]int64{PartAccept: 100, PartEvents: 1400 + 2000, PartStalled: 500, PartRepeated: 1000}},
		{"the store was out when the result was ready", `
			100 a batch_submit batch=b step=3 ms=100 err=<nil>
			100 h batch_open batch=b step=3 model=m
			900 h store_lost topic=batches err=down
			1100 h item_run id=i batch=b from_event=0 events=20 ms=1000 first_ms=0 silent_ms=0 outcome=whole
			5000 h store_reached topic=batches out_ms=4100
			5100 h item_listed id=i batch=b score_ms=0 append_ms=4000
			5100 a batch_end batch=b err=<nil>`,
			map[Part]int64{PartAccept: 100, PartEvents: 1000, PartStoreOut: 3900, PartAppend: 100}},
		{"the first try was refused", `
			300 a batch_submit batch=b step=3 ms=100 err="not done"
			1000 c batch_submit batch=b step=3 ms=100 err=<nil>
			1000 h batch_open batch=b step=3 model=m
			2000 h item_run id=i batch=b from_event=0 events=20 ms=1000 first_ms=0 silent_ms=0 outcome=whole
			2000 h item_listed id=i batch=b score_ms=0 append_ms=0
			2000 a batch_end batch=b err=<nil>`,
			map[Part]int64{PartAccept: 800, PartEvents: 1000}},
		{"nothing was listed", `
			100 a batch_submit batch=b step=3 ms=100 err=<nil>
			9000 a batch_end batch=b err=<nil>`,
			map[Part]int64{PartAccept: 100, PartUnknown: 8900}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			steps := ExplainSteps(stepLines(t, tc.lines))
			is.Equal(len(steps), 1)
			is.Equal(steps[0].Step, int64(3))
			is.Equal(steps[0].Parts, tc.want)
			sum := int64(0)
			for _, n := range steps[0].Parts {
				sum += n
			}
			is.Equal(sum, steps[0].TotalMs)
		})
	}
}
