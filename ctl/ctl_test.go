package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"ibisctl": func() { os.Exit(Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}

func testTables() config.Tables {
	return config.Tables{
		Routes: []config.Route{{Name: "desk", Kind: config.RouteHTTP, Customer: "magnolia", PathPrefix: "/desk", Pool: "desk", TimeoutMs: 1000,
			Callers: []config.Caller{{Name: "editor", TokenSHA256: strings.Repeat("0", 64)}}}},
		Pools: []config.Pool{{Name: "desk", Kind: config.PoolServices, Targets: []config.Target{
			{Name: "s1", Address: "10.0.0.1:8000", AvailabilityZone: "dixie-east-a"},
			{Name: "s2", Address: "10.0.0.2:8000", AvailabilityZone: "dixie-east-b"}}}},
	}
}

func stewardWithTables(t *testing.T) *fakeSteward {
	t.Helper()
	s := newFakeSteward(t)
	if code, _, stderr := run(t, []string{s.address}, "apply", writeJSON(t, testTables())); code != ExitOK {
		t.Fatal(stderr)
	}
	return s
}

func TestApplyEditedOutputOfGet(t *testing.T) {
	is := is.New(t)
	s := stewardWithTables(t)
	code, out, _ := run(t, []string{s.address}, "get", "routes", "desk", "-o", "json")
	is.Equal(code, ExitOK)
	var doc config.Document
	is.NoErr(json.Unmarshal([]byte(out), &doc))
	is.Equal(len(doc.Pools), 0)
	doc.Routes[0].TimeoutMs = 5000
	file := writeJSON(t, doc)
	code, out, _ = run(t, []string{s.address}, "diff", file)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "timeout_ms: 1000 -> 5000"))
	code, out, _ = run(t, []string{s.address}, "apply", file, "--note", "slow desk")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "changed routes/desk (was revision 1)"))
	is.Equal(s.tables().Route("desk").TimeoutMs, int64(5000))
	is.True(s.tables().Pool("desk") != nil) // rows that are not in the file are kept
	code, out, _ = run(t, []string{s.address}, "apply", file)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "no change"))
	code, out, _ = run(t, []string{s.address}, "history")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "slow desk"))
}

func TestApplyOutdatedFileIsConflict(t *testing.T) {
	is := is.New(t)
	s := stewardWithTables(t)
	mine := config.Document{Tables: testTables(), Revision: 1}
	mine.Routes[0].TimeoutMs = 5000
	theirs := config.Diff(s.machine.Snapshot(), testTables(), "ben")
	pool := testTables().Pools[0]
	pool.ConcurrencyPerTarget = 7
	theirs.ID, theirs.Edits = "theirs", []config.Edit{{Key: config.PoolKey("desk"), Replaces: 1, Pool: &pool}}
	s.decide(theirs)
	code, _, stderr := run(t, []string{s.address}, "apply", writeJSON(t, mine))
	is.Equal(code, ExitConflict)
	is.True(strings.Contains(stderr, "row pools/desk was changed by ben in revision 2"))
	is.Equal(s.tables().Route("desk").TimeoutMs, int64(1000))
	mine.Revision = 9 // newer than the steward's revision
	code, _, stderr = run(t, []string{s.address}, "apply", writeJSON(t, mine))
	is.Equal(code, ExitUnavailable)
	is.True(strings.Contains(stderr, "behind revision 9"))
}

func TestApplyConflictNamesOtherAuthor(t *testing.T) {
	is := is.New(t)
	s := stewardWithTables(t)
	route := testTables().Routes[0]
	route.Priority = 3
	s.concurrent = []config.Change{{ID: "rival", Author: "ben", Edits: []config.Edit{{Key: config.RouteKey("desk"), Replaces: 1, Route: &route}}}}
	mine := testTables()
	mine.Routes[0].TimeoutMs = 5000
	code, out, stderr := run(t, []string{s.address}, "apply", writeJSON(t, mine), "-o", "json")
	is.Equal(code, ExitConflict)
	is.True(strings.Contains(stderr, "row routes/desk was changed by ben in revision 2: run `ibisctl get routes desk`"))
	var d config.Decision
	is.NoErr(json.Unmarshal([]byte(out), &d))
	is.True(!d.Accepted)
}

func TestLostAnswerIsDecidedOnce(t *testing.T) {
	is := is.New(t)
	s := stewardWithTables(t)
	s.lostAnswers = 1
	mine := testTables()
	mine.Routes[0].TimeoutMs = 5000
	code, _, stderr := run(t, []string{s.address, s.address}, "apply", writeJSON(t, mine), "--timeout", "2s")
	is.Equal(stderr, "")
	is.Equal(code, ExitOK)
	is.Equal(len(s.machine.History()), 2) // the repeated change was not decided again
}

func TestUnknownOutcomeIsReportedWithRetryAdvice(t *testing.T) {
	is := is.New(t)
	s := stewardWithTables(t)
	s.lostAnswers = 1000
	mine := testTables()
	mine.Routes[0].TimeoutMs = 5000
	code, _, stderr := run(t, []string{s.address, s.address}, "apply", writeJSON(t, mine), "--change-id", "mine", "--timeout", "500ms")
	is.Equal(code, ExitUnavailable)
	is.True(strings.Contains(stderr, "the outcome of change mine is unknown"))
	is.True(strings.Contains(stderr, "--change-id mine"))
	code, _, stderr = run(t, []string{s.address}, "drain", "s1", "--timeout", "500ms")
	is.Equal(code, ExitUnavailable)
	is.True(strings.Contains(stderr, "run the same command again"))
}

func TestStewardErrorIsPreferredToTimeout(t *testing.T) {
	is := is.New(t)
	asked := make(chan struct{}, maxRounds)
	address := serveRPC(t, map[string]rpc.Handler{wire.MethodGet: rpc.NewHandler(func(ctx context.Context, _ wire.OperatorParams) (wire.GetResult, error) {
		asked <- struct{}{}
		if len(asked) > 1 {
			<-ctx.Done() // hangs
		}
		return wire.GetResult{}, rpc.Errorf(wire.CodeUnavailable, "the log is out")
	})})
	code, _, stderr := run(t, []string{address}, "get", "--timeout", "1s")
	is.Equal(code, ExitUnavailable)
	is.True(strings.Contains(stderr, "the log is out"))
}

func TestTooLargeChangeIsRejectedBeforeSending(t *testing.T) {
	is := is.New(t)
	s := stewardWithTables(t)
	all := testTables()
	for i := range 4000 {
		all.Pools[0].Targets = append(all.Pools[0].Targets, config.Target{Name: fmt.Sprintf("%060d", i), Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, 1+i%250),
			AvailabilityZone: strings.Repeat("a", 60)})
	}
	for i := range 6 {
		pool := all.Pools[0]
		pool.Name, pool.Targets = fmt.Sprint("pool", i), nil
		for j, t := range all.Pools[0].Targets {
			t.Address = fmt.Sprintf("10.%d.%d.%d:8000", 2+i, j/250, 1+j%250)
			pool.Targets = append(pool.Targets, t)
		}
		all.Pools = append(all.Pools, pool)
	}
	code, _, stderr := run(t, []string{s.address}, "apply", writeJSON(t, all))
	is.Equal(code, ExitUsage)
	is.True(strings.Contains(stderr, "apply the rows in several files"))
}

func TestLastAnsweringServerIsTriedFirst(t *testing.T) {
	is := is.New(t)
	s := stewardWithTables(t)
	var asked atomic.Int64
	hang := func(ctx context.Context, _ json.RawMessage) (any, error) {
		asked.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	hanging := serveRPC(t, map[string]rpc.Handler{wire.MethodGet: hang, wire.MethodApply: hang})
	code, _, stderr := run(t, []string{hanging, s.address}, "drain", "s1", "--timeout", "2s")
	is.Equal(stderr, "")
	is.Equal(code, ExitOK)
	is.Equal(asked.Load(), int64(1)) // by the get only, not by the apply that follows
}

func TestFailoverToNextServer(t *testing.T) {
	is := is.New(t)
	s := stewardWithTables(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	unreachable := l.Addr().String()
	l.Close()
	code, out, stderr := run(t, []string{unreachable, s.address}, "get", "pools", "desk")
	is.Equal(stderr, "")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "10.0.0.2:8000"))
	code, _, stderr = run(t, []string{unreachable}, "get")
	is.Equal(code, ExitUnavailable)
	is.True(strings.Contains(stderr, "check the addresses given with --server"))
}

func TestDeleteOfANamedPoolIsRefusedBeforeSending(t *testing.T) {
	is := is.New(t)
	s := stewardWithTables(t)
	code, _, stderr := run(t, []string{s.address}, "apply", "--delete", "pools/desk")
	is.Equal(code, ExitUsage)
	is.True(strings.Contains(stderr, `/routes/desk/pool: route "desk" names pool "desk"`))
	code, _, _ = run(t, []string{s.address}, "apply", "--delete", "pools/desk", "--delete", "routes/desk")
	is.Equal(code, ExitOK)
	is.Equal(len(s.tables().Pools), 0)
	code, _, stderr = run(t, []string{s.address}, "apply", "--delete", "pools/desk")
	is.Equal(code, ExitUsage)
	is.True(strings.Contains(stderr, "there is no row"))
}

func TestDrainRetriesAfterConflict(t *testing.T) {
	is := is.New(t)
	s := stewardWithTables(t)
	pool := testTables().Pools[0]
	pool.ConcurrencyPerTarget = 7
	s.concurrent = []config.Change{{ID: "rival", Author: "ben", Edits: []config.Edit{{Key: config.PoolKey("desk"), Replaces: 1, Pool: &pool}}}}
	code, _, stderr := run(t, []string{s.address}, "drain", "10.0.0.2:8000")
	is.Equal(stderr, "")
	is.Equal(code, ExitOK)
	got := s.tables().Pool("desk")
	is.True(got.Targets[1].Draining)
	is.True(!got.Targets[0].Draining)
	is.Equal(got.ConcurrencyPerTarget, 7)
	code, _, _ = run(t, []string{s.address}, "drain", "desk/s2", "--undo")
	is.Equal(code, ExitOK)
	is.True(!s.tables().Pool("desk").Targets[1].Draining)
	code, _, _ = run(t, []string{s.address}, "drain", "s9")
	is.Equal(code, ExitUsage)
}

func member(id string, status wire.MemberStatus, gate string) wire.Member {
	return wire.Member{Node: wire.Node{ID: id, AvailabilityZone: "dixie-east-a", GateAddress: gate}, Status: status, GateIncarnation: "g"}
}

func TestWatchWaitsForEachLiveGate(t *testing.T) {
	is := is.New(t)
	s := stewardWithTables(t)
	down := member("down", wire.StatusAlive, "")
	down.GateIncarnation = ""
	s.members = []wire.Member{member("vm1", wire.StatusAlive, ""), member("vm2", wire.StatusSuspect, ""), member("vm3", wire.StatusDead, ""), down}
	s.members[2].Node.ID = "stuck"
	code, out, stderr := run(t, []string{s.address}, "watch")
	is.Equal(stderr, "")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "revision 1 is in force on all 2 live gates"))
	is.True(strings.Contains(out, "does not answer: stuck"))
	s.members = append(s.members, member("stuck", wire.StatusAlive, ""))
	code, _, stderr = run(t, []string{s.address}, "watch", "--timeout", "600ms")
	is.Equal(code, ExitTimeout)
	is.True(strings.Contains(stderr, "stuck lack it"))
	code, out, _ = run(t, []string{s.address}, "nodes")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "down"))
}

func TestExplainAsksAllLiveGates(t *testing.T) {
	is := is.New(t)
	s := stewardWithTables(t)
	begin := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	gate := func(after time.Duration, name string) string {
		return serveRPC(t, map[string]rpc.Handler{wire.MethodExplain: rpc.NewHandler(func(_ context.Context, p wire.ExplainParams) (wire.ExplainResult, error) {
			if p.RequestID != "r1" {
				return wire.ExplainResult{}, authorize(p.Token)
			}
			return wire.ExplainResult{Events: []wire.Event{{Time: begin.Add(after), Name: name}}}, authorize(p.Token)
		})})
	}
	s.members = []wire.Member{member("vm1", wire.StatusAlive, gate(time.Second, "second")), member("vm2", wire.StatusAlive, gate(0, "first"))}
	code, out, _ := run(t, []string{s.address}, "explain", "r1", "-o", "json")
	is.Equal(code, ExitOK)
	var x explanation
	is.NoErr(json.Unmarshal([]byte(out), &x))
	is.Equal(len(x.Events), 2)
	is.Equal(x.Events[0].Name, "first")
	is.Equal(x.Events[1].Gate, "vm1")
	code, _, _ = run(t, []string{s.address}, "explain", "r2")
	is.Equal(code, ExitFailure)
}

func TestDump(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/debug/state" {
			_, _ = w.Write([]byte(`{"revision":3}`))
		}
	}))
	defer srv.Close()
	code, out, _ := run(t, nil, "dump", strings.TrimPrefix(srv.URL, "http://"))
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, `"revision": 3`))
	code, _, _ = run(t, nil, "dump", strings.TrimPrefix(srv.URL, "http://"), "--vars")
	is.Equal(code, ExitFailure) // the answer is not JSON
}

func TestWrongTokenErrorNamesFlag(t *testing.T) {
	is := is.New(t)
	s := newFakeSteward(t)
	wrong := writeJSON(t, "another token")
	code, _, stderr := run(t, []string{s.address}, "get")
	is.Equal(stderr, "")
	is.Equal(code, ExitOK)
	var out, errs strings.Builder
	code = Main(context.Background(), []string{"get", "--server", s.address, "--token-file", wrong}, &out, &errs)
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(errs.String(), "--token-file"))
}
