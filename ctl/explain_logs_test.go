package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestExplainFromLogs(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "vm-a.log")
	is.NoErr(os.WriteFile(file, []byte(`time=2026-12-04T07:00:01Z level=INFO msg=send_failed process=entry node=vm-a id=r1 target=t1 outcome="broken off" ms=120 err="unexpected EOF"
time=2026-12-04T07:00:01.1Z level=INFO msg=request process=entry node=vm-a id=r1 route=desk tables=3 pool=desk status=502 sends=1 target=t1 ms=121 reason="the targets failed"
`), 0o600))
	code, out, _ := run(t, nil, "explain", "--logs", file, "r1")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "cause: t1: broken off after 120 ms"))
	is.True(strings.Contains(out, "07:00:01.100"))
	code, _, stderr := run(t, nil, "explain", "--logs", file, "r2")
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(stderr, "no line contains the ID r2"))
	code, out, _ = run(t, nil, "explain", "--logs", file, "--around", "2026-12-04T07:00:01Z")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "nothing changed"))
	code, _, _ = run(t, nil, "explain", "--logs", file)
	is.Equal(code, ExitUsage)
	code, _, _ = run(t, nil, "explain", "--logs", file, "--around", "noon")
	is.Equal(code, ExitUsage)
	code, _, _ = run(t, nil, "explain", "--logs", file+"x", "r1")
	is.Equal(code, ExitUsage)
	code, _, _ = run(t, nil, "explain")
	is.Equal(code, ExitUsage)
}
