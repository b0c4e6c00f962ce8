package entry_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/ctl"
	"github.com/ibistrail/ibistrail/entry"
	"github.com/ibistrail/ibistrail/fake/errata"
)

// where runs ibisctl where against VMs.
func (d *deployment) where(vms []*vm, args ...string) (code int, out, errs string) {
	d.t.Helper()
	var addresses []string
	for _, v := range vms {
		srv := httptest.NewServer(v.process.DebugHandler())
		d.t.Cleanup(srv.Close)
		addresses = append(addresses, strings.TrimPrefix(srv.URL, "http://"))
	}
	var stdout, stderr bytes.Buffer
	code = ctl.Main(d.t.Context(), append(append([]string{"where"}, args...), "--vm", strings.Join(addresses, ",")), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// TestWhereExplainsRequestsAndItems covers an operator who asks why a request went where it did: the answer comes from the code that
// decides, names the inputs, and sends nothing.
func TestWhereExplainsRequestsAndItems(t *testing.T) {
	d := newDeployment(t, 2, 2, 2)
	d.memoryTokens = 4000
	d.configure("")
	for _, v := range d.vms {
		d.eventually(3*time.Second, "the new tables are in force", func() bool { return v.process.View.Get().Tables.Version == int64(d.version) })
	}
	items := []string{"i1", "i2", "i3"}
	body := strings.ReplaceAll(submission(1, 0, items...), `"Length-Hint":"40"`, `"Length-Hint":"40","Prompt-Prefix":"a1:300,77:30"`)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", body).status, http.StatusAccepted)
	d.checkResults(d.readAll(d.vms[0], "b1", len(items), 5*time.Second), 4, items...)
	holder, other := d.holder()
	requests := func() (n int) {
		for _, x := range append(append([]*errata.Target{}, d.engines...), d.services...) {
			n += len(x.ExecutedRequests())
		}
		return n
	}
	before := requests()

	code, out, errs := d.where([]*vm{other, holder}, host, "/notes/x", "--model", model, "--prompt", "a1:300,78:30", "--on", holder.name, "--json")
	d.is.Equal(errs, "")
	d.is.Equal(code, ctl.ExitOK)
	var w entry.Where
	d.is.NoErr(json.Unmarshal([]byte(out), &w))
	d.is.True(w.Item.Held)
	d.is.Equal(w.Item.PromptTokens, 330)
	held := map[string]int{}
	for _, e := range w.Item.Engines {
		held[e.Target] = e.HeldTokens
		d.is.Equal(e.MemoryTokens, 4000)
		d.is.True(e.ReportAgeMs >= 0 || e.HeldTokens == 0)
	}
	d.is.Equal(held[w.Item.Target], 300) // the engine that read the shared part

	_, out, _ = d.where([]*vm{other}, host, "/notes/x", "--model", model)
	d.is.True(strings.Contains(out, "does not run the items"))
	d.is.True(strings.Contains(out, "engine-0") && strings.Contains(out, "engine-1"))

	code, out, _ = d.where([]*vm{other}, host, "/desk/x")
	d.is.Equal(code, ctl.ExitOK)
	d.is.True(strings.Contains(out, "goes to desk-"))
	for _, args := range [][]string{
		{host, "/nowhere", "desk.example/desk/"}, {host, "/notes/x", "--model", "unknown", model}, {host, "/desk/x", "--model", model, "desk.example/notes/"},
		{host, "/desk/x", "--on", "vm-9", other.name}, {host, "/notes/x", "--prompt", "zz:1", "ID:TOKENS"},
	} {
		code, _, errs = d.where([]*vm{other}, args[:len(args)-1]...)
		d.is.Equal(code, ctl.ExitUsage)
		d.is.True(strings.Contains(errs, args[len(args)-1])) // the error says what exists
	}
	d.is.Equal(requests(), before)

	for _, x := range d.services {
		x.Register(d.store, "draining")
	}
	d.eventually(3*time.Second, "a refusal is explained", func() bool {
		_, out, _ = d.where([]*vm{other}, host, "/desk/x")
		return strings.Contains(out, "refused with 503: the pool has no target; Retry-After")
	})
}
