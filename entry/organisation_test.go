package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/entry"
	"github.com/ibistrail/ibistrail/fake/errata"
)

const (
	// twoTenants are organisations with two keys and one key.
	twoTenants = `,"Tenants":[{"Name":"hule","ApiKeys":["key-hule","spare-hule"],"Priority":1},{"Name":"ludo","ApiKeys":["key-ludo"]}]`
	// publicRoute is the route of scorers.
	publicRoute = `,{"Name":"r-score","Host":"desk.example","PathPrefix":"/score/","Kind":"idempotent","TimeoutMs":1500,"TargetLatencyMs":150,"Service":"desk","MaxAttempts":2,"Public":true}`
)

// refusalTime is the time within which a refusal must come that does not wait for the body.
const refusalTime = 500 * time.Millisecond

// configureTenants writes a configuration with organisations and waits until the VMs have it.
func (d *deployment) configureTenants(tenants string) {
	d.t.Helper()
	d.tenants = tenants
	d.configure(publicRoute + streamRoute)
	d.eventually(3*time.Second, "the configuration is in force", func() bool {
		for _, v := range d.vms {
			if t := v.process.View.Get().Tables; t == nil || t.Version != int64(d.version) {
				return false
			}
		}
		return true
	})
}

// scoredPublicly returns a submission whose items are scored on the public route, and which presents credentials in the items' headers.
func scoredPublicly(items ...string) string {
	s := strings.ReplaceAll(submission(1, 0, items...), `"/desk/score"`, `"/score/x"`)
	return strings.ReplaceAll(s, `"Headers":{`, `"Headers":{"tenant":"forged","authorization":"Token key-ludo",`)
}

// checkTenants checks that no target saw an API key, and that each saw the organisation of the request and no other. It returns the number
// of runs.
func (d *deployment) checkTenants(want func(id string) string) int {
	d.t.Helper()
	runs := 0
	for _, x := range append(d.engines, d.services...) {
		for _, r := range x.ExecutedRequests() {
			runs++
			if got := strings.Join(r.Header.Values("Tenant"), ","); got != want(r.ID) {
				d.t.Errorf("request %s at %s names organisation %q, want %q", r.ID, x.ID, got, want(r.ID))
			}
			if r.Header.Get("Authorization") != "" {
				d.t.Errorf("request %s at %s has an API key", r.ID, x.ID)
			}
		}
	}
	return runs
}

// Guards against a way of a request to a target on which the target sees an API key, no organisation, or one that the caller chose.
func TestTargetsSeeOrganisationAndNoAPIKey(t *testing.T) {
	d := newDeployment(t, 2, 2, 2)
	d.configureTenants(twoTenants)
	d.key = "key-hule"
	forged := []string{"Tenant", "ludo"}
	call := func(v *vm, path, id string, headers ...string) {
		t.Helper()
		a := d.call(v, http.MethodPost, path, id, "", append(forged, headers...)...)
		d.is.Equal(a.status, http.StatusOK) // not refused
	}
	call(d.vms[0], "/desk/x", "plain")
	call(d.vms[0], "/desk/x", "listed", "Connection", "Tenant, Authorization")
	call(d.vms[0], "/score/x", "public")
	call(d.vms[0], "/score/x", "anonymous", "Authorization", "Token unknown")

	for _, x := range d.services { // a retry
		x.Set(func(x *errata.Target) { x.LoseAnswers = 1 })
	}
	d.call(d.vms[0], http.MethodPost, "/desk/x", "retry", "", forged...)
	for _, x := range d.services { // a hedge
		x.Set(func(x *errata.Target) { x.LoseAnswers, x.RequestDuration = 0, 300*time.Millisecond })
	}
	call(d.vms[0], "/desk/x", "hedge")
	for _, x := range d.services {
		x.Set(func(x *errata.Target) { x.RequestDuration = 5 * time.Millisecond })
	}
	call(d.vms[0], "/stream/x", "stream", "Model", model)
	call(d.vms[0], "/stream/x", "resumed", "Model", model, "Last-Event-Id", "2", "Resumes", "stream")

	for _, e := range d.engines { // items whose streams break off are resumed
		e.Set(func(e *errata.Target) { e.EventsPerStream, e.ResetStreamAfter = 9, 4 })
	}
	d.is.Equal(d.call(d.vms[1], http.MethodPost, "/notes/b1", "b1", scoredPublicly("i1", "i2"), forged...).status, http.StatusAccepted)
	d.checkResults(d.readAll(d.vms[0], "b1", 2, 8*time.Second), 9, "i1", "i2")

	d.vms[0].targetPath.set(pathReject)
	d.eventually(5*time.Second, "a request takes a detour", func() bool {
		return d.call(d.vms[0], http.MethodPost, "/desk/x", "detour", "", forged...).status == http.StatusOK
	})
	runs := runsByID(append(d.engines, d.services...))
	for _, id := range []string{"retry", "hedge", "i1"} {
		d.is.True(len(runs[id]) >= 2) // it was sent again
	}
	for _, id := range []string{"plain", "listed", "public", "anonymous", "stream", "resumed", "score-i1", "detour"} {
		d.is.True(len(runs[id]) > 0) // it ran
	}
	d.checkTenants(func(id string) string {
		if id == "anonymous" || strings.HasPrefix(id, "score-") {
			return ""
		}
		return "hule"
	})
	for _, secret := range []string{"key-hule", "key-ludo", "unknown"} {
		d.is.True(!strings.Contains(d.log.String(), secret)) // no log line holds an API key
	}
}

// Guards against requests that run without a valid API key, and against a refusal that waits for the body.
func TestRequestsWithoutValidKeyAreRefused(t *testing.T) {
	d := newDeployment(t, 1, 1, 1)
	v := d.vms[0]
	for _, path := range []string{"/desk/x", "/score/x"} {
		d.is.Equal(d.call(v, http.MethodPost, path, "before", "", "Authorization", "Token any", "Tenant", "own").status != http.StatusUnauthorized, true)
	}
	run := d.services[0].ExecutedRequests()[0]
	d.is.Equal(run.Header.Get("Authorization")+" "+run.Header.Get("Tenant"), "Token any own") // without organisations nothing changes
	d.configureTenants(twoTenants)
	runs := len(d.services[0].ExecutedRequests())
	for _, authorization := range []string{"", "Token", "Token ", "Token unknown", "Bearer key-hule", "key-hule", "Token key-hule x", "Token key-hule,key-ludo", "Token " + strings.Repeat("k", 40_000)} {
		a := d.call(v, http.MethodPost, "/desk/x", "r1", "body", "Authorization", authorization)
		d.is.Equal(a.status, http.StatusUnauthorized)
		d.is.Equal(a.header.Get("Request-Id"), "r1")
		d.is.Equal(d.call(v, http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1"), "Authorization", authorization).status, http.StatusUnauthorized)
		d.is.Equal(d.call(v, http.MethodGet, "/v1/lots/b1", "r1", "", "Authorization", authorization).status, http.StatusUnauthorized)
		d.is.Equal(d.call(v, http.MethodGet, "/nowhere", "r0", "", "Authorization", authorization[:min(len(authorization), 100)]).status, http.StatusNotFound)
	}
	c, err := net.Dial("tcp", v.address)
	d.is.NoErr(err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /desk/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Token key-hule\r\nAuthorization: Token key-hule\r\nContent-Length: 5000\r\n\r\n", host)
	d.is.NoErr(err)
	d.is.NoErr(c.SetReadDeadline(time.Now().Add(refusalTime)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	d.is.NoErr(err) // answered although the body has not been sent
	d.is.Equal(resp.StatusCode, http.StatusUnauthorized)

	d.is.Equal(d.explain("r1").Outcome, "refused 401")

	d.key = "spare-hule"
	d.is.Equal(d.call(v, http.MethodPost, "/desk/x", "r2", "").status, http.StatusOK)
	d.is.Equal(len(d.services[0].ExecutedRequests()), runs+1) // only this one ran

	// The key is removed while a request sends its body.
	body, send := io.Pipe()
	req, err := http.NewRequest(http.MethodPost, "http://"+v.address+"/desk/slow", body)
	d.is.NoErr(err)
	req.Host = host
	req.Header.Set("Authorization", "Token spare-hule")
	status := make(chan int, 1)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			status <- 0
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	_, err = send.Write([]byte("first part"))
	d.is.NoErr(err)
	d.configureTenants(strings.Replace(twoTenants, `,"spare-hule"`, "", 1))
	d.is.NoErr(send.Close())
	d.is.Equal(<-status, http.StatusUnauthorized)
	d.is.Equal(d.call(v, http.MethodPost, "/desk/x", "r3", "").status, http.StatusUnauthorized)
	d.is.Equal(d.call(v, http.MethodPost, "/desk/x", "r4", "", "Authorization", "token key-hule").status, http.StatusOK)
	d.is.Equal(len(d.services[0].ExecutedRequests()), runs+2)
}

// Guards against an organisation that reads, ends or takes over the batch of another one, and against a batch that ends with its key.
func TestBatchBelongsToOrganisation(t *testing.T) {
	d := newDeployment(t, 1, 1, 4) // more than keep up with a partition
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b0", "b0", submission(1, 0, "i0")).status, http.StatusAccepted)
	d.readAll(d.vms[0], "b0", 1, 5*time.Second)
	for _, v := range d.vms[1:] { // a VM reads all partitions before its first submission, and not before later ones
		d.is.Equal(d.call(v, http.MethodPost, "/notes/"+v.name, v.name, submission(1, 0, "i-"+v.name)).status, http.StatusAccepted)
		d.readAll(d.vms[0], v.name, 1, 5*time.Second)
	}
	d.configureTenants(twoTenants)
	d.engines[0].Set(func(e *errata.Target) { e.Full = true })
	d.key = "spare-hule"
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1")).status, http.StatusAccepted)
	d.configureTenants(strings.Replace(twoTenants, `,"spare-hule"`, "", 1))
	calls := func(v *vm) (statuses []int) {
		statuses = append(statuses, d.call(v, http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1")).status)
		for _, c := range [][2]string{{http.MethodGet, "/v1/lots/b1"}, {http.MethodGet, "/v1/items/b1?Id=i1"}, {http.MethodDelete, "/v1/lots/b1"}} {
			statuses = append(statuses, d.call(v, c[0], c[1], "", "").status)
		}
		return statuses
	}
	for _, v := range d.vms { // some have not read the batch
		d.key = "key-ludo"
		d.is.Equal(calls(v), []int{404, 404, 404, 404})
		d.key = "spare-hule"
		d.is.Equal(calls(v), []int{401, 401, 401, 401})
	}
	// The item of another organisation with the same ID gets no text of this one.
	d.engines[0].Set(func(e *errata.Target) { e.Full = false })
	d.key = "key-hule"
	d.checkResults(d.readAll(d.vms[1], "b1", 1, 5*time.Second), 4, "i1")
	runs := len(d.engines[0].ExecutedRequests())
	d.key = "key-ludo"
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b2", "b2", submission(1, 0, "i1")).status, http.StatusAccepted)
	d.readAll(d.vms[0], "b2", 1, 5*time.Second)
	d.is.Equal(len(d.engines[0].ExecutedRequests()), runs+1)
	d.readAll(d.vms[0], "b0", 1, time.Second) // a batch from before the organisations is open to each
	d.key = "key-hule"
	d.is.Equal(d.call(d.vms[1], http.MethodDelete, "/v1/lots/b1", "", "").status, http.StatusOK)
}

// Guards against a faulty configuration that replaces the one before, or that shows an API key in the log.
func TestFaultyOrganisationsKeepTablesBefore(t *testing.T) {
	d := newDeployment(t, 0, 1, 1)
	d.configureTenants(twoTenants)
	d.key = "key-ludo"
	before := int64(d.version)
	for problem, tenants := range map[string]string{
		"ApiKeys": `,"Tenants":[{"Name":"hule","ApiKeys":["key-both"]},{"Name":"ludo","ApiKeys":["key-both"]}]`,
		"no Name": `,"Tenants":[{"ApiKeys":["key-both"]}]`,
	} {
		d.tenants = tenants
		d.configure("")
		d.eventually(3*time.Second, "the configuration is rejected", func() bool {
			return strings.Contains(d.log.String(), "record_ignored") && strings.Contains(d.log.String(), problem)
		})
		d.is.Equal(d.vms[0].process.View.Get().Tables.Version, before)
		d.is.Equal(d.call(d.vms[0], http.MethodPost, "/desk/x", "r1", "").status, http.StatusOK)
	}
	d.is.True(!strings.Contains(d.log.String(), "key-both"))
	v := d.launchVM("vm-late") // it knows only the last configuration, which is faulty
	d.eventually(3*time.Second, "the VM answers", func() bool { return d.call(v, http.MethodGet, "/v1/lots/b1", "r1", "").err == nil })
	for _, path := range []string{"/desk/x", "/v1/lots/b1"} {
		a := d.call(v, http.MethodGet, path, "r1", "", "Authorization", "Token unknown")
		d.is.Equal(a.status, http.StatusServiceUnavailable) // never 401 or 404 without a configuration
		d.is.True(a.header.Get("Retry-After") != "")
	}
	d.configureTenants(strings.Replace(twoTenants, "key-ludo", "key-new", 1))
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/desk/x", "r2", "").status, http.StatusUnauthorized)
}

// Guards against a VM that goes on to accept keys with tables that may be too old, or that refuses them without FailClosed.
func TestCutOffVMRefusesKeysIfFailClosed(t *testing.T) {
	d := newDeployment(t, 0, 1, 1)
	d.adjust = func(s *entry.Settings) { s.FailClosed, s.RevokeWithin = true, 2*time.Second }
	d.startVM("vm-closed")
	d.configureTenants(twoTenants)
	d.key = "key-hule"
	status := func(v *vm, path string) int { return d.call(v, http.MethodPost, path, "r1", "").status }
	version := 1
	for until := time.Now().Add(2500 * time.Millisecond); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		version++
		d.nameVersion(version)
		d.is.Equal(status(d.vms[1], "/desk/x"), http.StatusOK) // neither reads that wait nor ones that always find records make the tables old
	}
	for _, v := range d.vms {
		v.storeAccess.set(storeRefuses)
	}
	d.eventually(5*time.Second, "the tables are too old", func() bool { return status(d.vms[1], "/desk/x") == http.StatusServiceUnavailable })
	a := d.call(d.vms[1], http.MethodGet, "/v1/lots/b1", "r1", "")
	d.is.Equal(a.status, http.StatusServiceUnavailable)
	d.is.True(a.header.Get("Retry-After") != "")
	d.is.Equal(status(d.vms[1], "/score/x"), http.StatusOK) // needs no key
	d.is.Equal(status(d.vms[0], "/desk/x"), http.StatusOK)  // not FailClosed
	d.vms[1].storeAccess.set(storeServes)
	d.eventually(5*time.Second, "the tables have been read", func() bool { return status(d.vms[1], "/desk/x") == http.StatusOK })
}
