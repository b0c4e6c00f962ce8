package logs

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func mustRead(t *testing.T, text string) []*Line {
	t.Helper()
	lines, _, err := Read(strings.NewReader(text), "file")
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

func TestParseSkipsPrefixAndUnquotesValues(t *testing.T) {
	is := is.New(t)
	l, err := Parse(`  12.5 vm-a time=2026-12-04T07:06:50.5Z level=WARN msg=store_lost process=entry node=vm-a topic=keyed.op err="Get \"http://x\": timeout a=b"`)
	is.NoErr(err)
	is.Equal(l.VM, "vm-a")
	is.Equal(l.Event, "store_lost")
	is.Equal(l.Get("err"), `Get "http://x": timeout a=b`)
	for _, bad := range []string{"", "panic: x", "time=2026-12-04T07:06:50Z level=INFO", "time=yesterday msg=x", `time=2026-12-04T07:06:50Z msg="x`} {
		_, err := Parse(bad)
		is.True(err != nil) // not an event
	}
}

func TestReadCountsUnreadableLines(t *testing.T) {
	is := is.New(t)
	lines, unread, err := Read(strings.NewReader("goroutine 1\ntime=2026-12-04T07:06:50Z msg=started\n"+strings.Repeat("x", 3*maxLineBytes)+"\ntime=2026-12-04T07:06:51Z msg=stopped"), "vm-a")
	is.NoErr(err)
	is.Equal(unread, 2)
	is.Equal(len(lines), 2)
	is.Equal(lines[0].VM, "vm-a")
}

func FuzzParse(f *testing.F) {
	f.Add(`time=2026-12-04T07:06:50Z level=INFO msg=request node=a id=1 err="x y"`)
	f.Add(`time=2026-12-04T07:06:50Z msg=`)
	f.Add(`time==`)
	f.Fuzz(func(t *testing.T, text string) {
		l, err := Parse(text)
		if err == nil && (l.Event == "" || l.Time.IsZero()) {
			t.Fatal("parsed a line without an event name or a time")
		}
	})
}

// skewedClocksLog is a log in which vm-b's clock is 30 s ahead.
const skewedClocksLog = `time=2026-12-04T07:00:01Z msg=tables_in_force node=vm-a version=3 offset=9
time=2026-12-04T07:00:31Z msg=tables_in_force node=vm-b version=3 offset=9
time=2026-12-04T07:00:01.5Z msg=tables_in_force node=vm-c version=3 offset=9
time=2026-12-04T07:00:40Z msg=batch_submit node=vm-b batch=b1 partition=2 step=4 items=2 ms=20 err=<nil>
time=2026-12-04T07:00:10.9Z msg=batch_open node=vm-a batch=b1 partition=2 step=4 model=m least_version=5 items=2 listed=0 reused=0 saved=0
`

func TestAlignCorrectsClocks(t *testing.T) {
	is := is.New(t)
	lines := mustRead(t, skewedClocksLog)
	offsets := Align(lines)
	is.Equal(len(offsets), 1)
	is.True(offsets["vm-b"] > 29*time.Second)
	is.Equal(lines[len(lines)-1].Event, "batch_open") // after its submission
}

const failingTargetsLog = `time=2026-12-04T07:00:01Z msg=send_failed node=vm-a id=r1 target=t1 outcome="broken off" ms=120 err="unexpected EOF"
time=2026-12-04T07:00:01.4Z msg=send_failed node=vm-a id=r1 target=t2 outcome="answered 500" ms=300 err=<nil>
time=2026-12-04T07:00:01.4Z msg=request node=vm-a id=r1 route=desk tables=3 pool=desk status=500 sends=2 target=t2 ms=420 reason=""
`

const noTargetLog = `time=2026-12-04T07:00:01Z msg=store_lost node=vm-a topic=instances err="timeout"
time=2026-12-04T07:00:10Z msg=request node=vm-a id=r2 route=desk tables=3 pool=desk status=503 sends=0 target="" ms=0 reason="the pool has no target"
`

const strandedVMLog = `time=2026-12-04T07:00:00Z msg=target_paths node=vm-a outcome=lost silent_ms=450 open_calls=2
time=2026-12-04T07:00:01Z msg=send_failed node=vm-a id=r1 target=t1 outcome="not sent" ms=3 err="nothing was sent"
time=2026-12-04T07:00:01Z msg=request node=vm-a id=r1 route=desk tables=3 pool=desk status=503 sends=1 target=t1 via="" ms=3 reason="no target had room for the request"
`

const lateBatchLog = skewedClocksLog + `time=2026-12-04T07:00:11Z msg=items_wait node=vm-a items=40 engines=9 cooling=0 loading=2 old_version=6 full=1
time=2026-12-04T07:00:12Z msg=tenure_taken node=vm-c partition=2 token=8 orders_in_ms=1900
time=2026-12-04T07:00:12.1Z msg=batch_open node=vm-c batch=b1 partition=2 step=4 model=m least_version=5 items=2 listed=0 reused=0 saved=1
time=2026-12-04T07:00:14Z msg=item_run node=vm-c id=i1 batch=b1 target=e1 from_event=0 events=20 versions=[5] ms=1000 outcome=whole err=<nil>
time=2026-12-04T07:00:19Z msg=batch_done node=vm-c batch=b1 ms=9000 due_ms=8200
`

const limitedBatchLog = skewedClocksLog + `time=2026-12-04T07:00:11Z msg=items_wait node=vm-a batch=b1 items=40 engines=9 cooling=0 loading=0 old_version=0 full=1 at_limit=8
time=2026-12-04T07:00:12Z msg=text_restarted node=vm-a id=i1 batch=b1 events=7 software=v1
time=2026-12-04T07:00:19Z msg=batch_done node=vm-a batch=b1 ms=9000 due_ms=8200
`

func TestExplain(t *testing.T) {
	for _, c := range []struct {
		name, log, id, kind string
		cause               []string
	}{
		{"lost answer of a target", failingTargetsLog, "r1", "request", []string{"t1: broken off after 120 ms", "t2: answered 500"}},
		{"refusal without targets", noTargetLog, "r2", "request", []string{"refused: the pool has no target", "without the store since 07:00:01.000"}},
		{"VM without paths to targets", strandedVMLog, "r1", "request", []string{"the VM itself had reached no target since 07:00:00.000"}},
		{"late batch", lateBatchLog, "b1", "batch", []string{"from 07:00:11.000 items waited as engines had versions older", "vm-c, took the partition over and could order versions 1900 ms later"}},
		{"batch of limited engines", limitedBatchLog, "b1", "batch", []string{"items waited as engines were at the rate limits", "texts began anew"}},
		{"item of a late batch", lateBatchLog, "i1", "item", []string{"one run made the text"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			lines := mustRead(t, c.log)
			Align(lines)
			e, err := Explain(lines, c.id)
			is.NoErr(err)
			is.Equal(e.Kind, c.kind)
			for _, want := range c.cause {
				if !strings.Contains(e.Cause, want) {
					t.Errorf("cause %q lacks %q", e.Cause, want)
				}
			}
		})
	}
}

func TestExplainListsEarliestDelayFirst(t *testing.T) {
	is := is.New(t)
	lines := mustRead(t, lateBatchLog)
	Align(lines)
	e, err := Explain(lines, "b1")
	is.NoErr(err)
	is.True(strings.Index(e.Cause, "older than the step allows") < strings.Index(e.Cause, "took the partition over"))
}

// The log file of one VM may contain no lines of the batch except successful runs.
func TestExplainItemWithoutBatchLines(t *testing.T) {
	is := is.New(t)
	e, err := Explain(mustRead(t, "time=2026-12-04T07:00:14Z msg=item_run node=vm-c id=i1 batch=b1 target=e1 events=20 ms=1000 outcome=whole\n"), "i1")
	is.NoErr(err)
	is.Equal(e.Kind, "item")
	is.True(strings.Contains(e.Cause, "one run made the text"))
}

func TestUnknownIDErrorListsRestartedVMs(t *testing.T) {
	is := is.New(t)
	_, err := Explain(mustRead(t, "time=2026-12-04T07:00:01Z msg=started node=vm-a\ntime=2026-12-04T07:00:05Z msg=started node=vm-a\n"), "r9")
	var unknown *UnknownIDError
	is.True(errors.As(err, &unknown))
	is.Equal(unknown.RestartedVMs, []string{"vm-a"})
}

func TestAroundListsOnlyContextEvents(t *testing.T) {
	is := is.New(t)
	near := EventsNear(mustRead(t, lateBatchLog), time.Date(2026, 12, 4, 7, 0, 12, 0, time.UTC))
	is.Equal(len(near), 2) // items_wait and tenure_taken
}
