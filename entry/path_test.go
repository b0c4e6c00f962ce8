package entry_test

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/entry"
	"github.com/ibistrail/ibistrail/fake/errata"
	"github.com/ibistrail/ibistrail/internal/loopback"
	"github.com/ibistrail/ibistrail/platform"
	"github.com/ibistrail/ibistrail/process"
)

// Names of the test's deployment.
const (
	host  = "desk.example"
	model = "drafts"
)

// world is a deployment on loopback: the stand-ins and some VMs.
type world struct {
	t       *testing.T
	is      *is.I
	store   *errata.Store
	engines []*errata.Target
	desks   []*errata.Target
	vms     []*vm
	version int
	log     lockedBuffer // what all VMs have logged
}

// vm is one entry VM.
type vm struct {
	name, address, ready string
	p                    *entry.Process
	stop                 chan struct{}
	done                 chan error
}

// newWorld starts a deployment with engines, plain services and VMs.
func newWorld(t *testing.T, engines, desks, vms int) *world {
	t.Helper()
	t.Parallel()
	w := &world{t: t, is: is.New(t), store: errata.NewStore(4)}
	t.Cleanup(w.store.Close)
	for i := range engines {
		w.engines = append(w.engines, w.target(fmt.Sprintf("engine-%d", i), "drafting", 4, model))
	}
	for i := range desks {
		w.desks = append(w.desks, w.target(fmt.Sprintf("desk-%d", i), "desk", 4))
	}
	w.configure("")
	for i := range vms {
		w.start(fmt.Sprintf("vm-%d", i))
	}
	return w
}

func (w *world) target(id, service string, slots int, models ...string) *errata.Target {
	x := errata.NewTarget(id, service, "a", slots, models...)
	w.t.Cleanup(x.Close)
	x.Register(w.store, "ready")
	return x
}

// configure writes a configuration of a higher version; extra are further routes.
func (w *world) configure(extra string) {
	w.version += 3
	w.store.Put("keyed.op", "config", []byte(fmt.Sprintf(`{"Version":%d,"Routes":[
		{"Name":"r-desk","Host":%[2]q,"PathPrefix":"/desk/","Kind":"idempotent","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":2,"Service":"desk","MaxAttempts":2},
		{"Name":"r-file","Host":%[2]q,"PathPrefix":"/file/","Kind":"non_idempotent","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":2,"Service":"desk","MaxAttempts":2},
		{"Name":"r-notes","Host":%[2]q,"PathPrefix":"/notes/","Kind":"rollout","TargetLatencyMs":500,"RunDeadlineMs":7500,"RetentionS":40,"Priority":0,"Service":"drafting","MaxAttempts":3}%[3]s],
		"Services":[{"Name":"desk","HealthPath":"/healthz","MaxConns":100},
		{"Name":"drafting","HealthPath":"/healthz","MaxConns":100,"Engine":{"Slots":4,"Stride":10,"Models":[{"Name":%[4]q}]}}],
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, w.version, host, extra, model)))
}

// name names a weight version, as a trainer does.
func (w *world) name(version int) {
	w.store.Put("keyed.op", "version/"+model, []byte(fmt.Sprintf(`{"Model":%q,"Version":%d}`, model, version)))
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", loopback.Host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// start starts a VM and waits until it is ready.
func (w *world) start(name string) *vm {
	w.t.Helper()
	v := &vm{name: name, address: freeAddress(w.t), ready: freeAddress(w.t), stop: make(chan struct{}), done: make(chan error, 1)}
	targets := platform.NewTargets()
	log := process.NewLogger(io.MultiWriter(w.t.Output(), &w.log), slog.LevelInfo, "entry", name)
	v.p = entry.New(entry.Parts{
		Settings: entry.Settings{
			VM: name, AvailabilityZone: "a", IP: name, ListenAddress: v.address, ReadyAddress: v.ready, StoreAddress: w.store.Address(),
			Partitions: 4, RecordBytes: 4096, CallBytes: 1 << 20, StopGrace: 4 * time.Second,
			OrderHandover: time.Second, BatchRetention: time.Minute,
		},
		Log: log, Store: platform.NewStore(w.store.Address(), nil), Client: targets, Engines: targets, Sources: platform.Sources(),
		BootTime: process.BootTime, ReadyHandler: platform.ReadyHandler,
		Handler: func(p *entry.Process) http.Handler {
			return (&platform.Ingress{View: p.View, Plain: p.Forward, Batches: p.Batches, Closing: p.Closing, Log: log}).Handler()
		},
	})
	go func() { v.done <- v.p.Run(v.stop) }()
	w.vms = append(w.vms, v)
	w.t.Cleanup(func() { w.kill(v) })
	w.eventually(3*time.Second, name+" is ready", v.p.Ready)
	return v
}

// kill ends a VM without a farewell.
func (w *world) kill(v *vm) {
	v.p.Abort()
	select {
	case err := <-v.done:
		v.done <- err
	case <-time.After(5 * time.Second):
		w.t.Error(v.name, "does not end")
	}
}

func (w *world) eventually(within time.Duration, what string, ok func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(within); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			w.t.Fatalf("not within %s: %s", within, what)
		}
	}
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request as a client does.
func (w *world) call(v *vm, method, path, id string, body string, headers ...string) answer {
	req, err := http.NewRequest(method, "http://"+v.address+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Host = host
	if id != "" {
		req.Header.Set("Request-Id", id)
		req.Header.Set("Deadline-Ms", "3000")
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(data), err}
}

// submission is the body of a batch submission.
func submission(step, least int, items ...string) string {
	type scorer struct{ Id, Host, Path, Body string }
	type item struct {
		Id, Path, Body, Group string
		Headers               map[string]string
		Scorer                *scorer
	}
	doc := struct {
		Step, MinVersion, DesiredCount int
		Model                          string
		Items                          []item
	}{Step: step, MinVersion: least, DesiredCount: 1, Model: model}
	for _, id := range items {
		doc.Items = append(doc.Items, item{
			Id: id, Path: "/notes/" + id, Body: base64.StdEncoding.EncodeToString([]byte("prompt of " + id)), Group: "g",
			Headers: map[string]string{"Model": model, "Length-Hint": "40"}, Scorer: &scorer{"score-" + id, host, "/desk/score", ""},
		})
	}
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err) // the document is built here
	}
	return string(data)
}

// result is a listed item on the wire.
type result struct {
	Id, State, Text, Score string
	Versions               []int64
}

// page is a part of a batch's results on the wire.
type page struct {
	Total, Next int
	Results     []result
}

// read reads a batch's results from a position on.
func (w *world) read(v *vm, batch string, after int) (page, int) {
	w.t.Helper()
	a := w.call(v, http.MethodGet, fmt.Sprintf("/v1/lots/%s?After=%d", batch, after), "", "", "Wait-Ms", "200")
	if a.err != nil || a.status != http.StatusOK {
		return page{}, a.status
	}
	var p page
	if err := json.Unmarshal([]byte(a.body), &p); err != nil {
		w.t.Fatalf("%s: %v", a.body, err)
	}
	return p, a.status
}

// readAll reads a batch until all of it is listed.
func (w *world) readAll(v *vm, batch string, total int, within time.Duration) []result {
	w.t.Helper()
	var all []result
	w.eventually(within, fmt.Sprintf("all %d results of %s", total, batch), func() bool {
		p, status := w.read(v, batch, len(all))
		if status == http.StatusOK && p.Total != total {
			w.t.Fatalf("total %d, want %d", p.Total, total)
		}
		all = append(all, p.Results...)
		return len(all) >= total
	})
	return all
}

// check tells whether the results are those of the items, whole and once.
func (w *world) check(results []result, events int, items ...string) {
	w.t.Helper()
	seen := map[string]bool{}
	for _, r := range results {
		w.is.True(!seen[r.Id]) // an item stands at one position
		seen[r.Id] = true
		w.is.Equal(r.State, "completed")
		w.is.Equal(r.Text, errata.Text(r.Id, events))
		w.is.Equal(r.Score, "stamp.score-"+r.Id)
	}
	for _, id := range items {
		w.is.True(seen[id]) // each item is listed
	}
}

func TestBatchIsServedWholeAtEachVM(t *testing.T) {
	w := newWorld(t, 2, 1, 3)
	items := []string{"i1", "i2", "i3", "i4", "i5", "i6", "i7", "i8", "i9", "i10"}
	body := submission(1, 0, items...)
	w.is.Equal(w.call(w.vms[0], http.MethodPost, "/notes/b1", "b1", body).status, http.StatusAccepted)
	w.is.Equal(w.call(w.vms[1], http.MethodPost, "/notes/b1", "b1", body).status, http.StatusAccepted) // again, at another VM
	all := w.readAll(w.vms[2], "b1", len(items), 5*time.Second)
	w.check(all, 4, items...)
	w.is.Equal(all[0].Versions, []int64{1})
	for _, v := range w.vms {
		w.is.Equal(w.readAll(v, "b1", len(items), 3*time.Second), all) // the same at each VM
	}
	for _, e := range w.engines {
		for _, r := range e.Runs() {
			w.is.Equal(r.Method, http.MethodPost)
			w.is.Equal(r.Host, host)
			w.is.Equal(string(r.Body), "prompt of "+r.ID)
		}
	}
	_, status := w.read(w.vms[0], "nobody", 0)
	w.is.Equal(status, http.StatusNotFound)
}

func TestBatchSurvivesTheLossOfAllVMs(t *testing.T) {
	w := newWorld(t, 2, 1, 2)
	for _, e := range w.engines {
		e.Set(func(e *errata.Target) { e.Events, e.Pace = 30, 20*time.Millisecond })
	}
	items := []string{"i1", "i2", "i3"}
	w.is.Equal(w.call(w.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, items...)).status, http.StatusAccepted)
	w.eventually(3*time.Second, "an item runs", func() bool { return len(w.engines[0].Runs())+len(w.engines[1].Runs()) > 0 })
	w.kill(w.vms[0])
	w.kill(w.vms[1])
	v := w.start("vm-2")
	a := w.call(v, http.MethodGet, "/v1/items/b1?Id=i2", "", "")
	w.is.Equal(a.status, http.StatusOK)
	w.is.Equal(a.body, "prompt of i2")
	w.check(w.readAll(v, "b1", len(items), 10*time.Second), 30, items...)
}

func TestBrokenItemResumesAfterItsLastEvent(t *testing.T) {
	w := newWorld(t, 2, 1, 1)
	for _, e := range w.engines {
		e.Set(func(e *errata.Target) { e.Events, e.BreakAfter = 9, 4 })
	}
	w.is.Equal(w.call(w.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1")).status, http.StatusAccepted)
	w.check(w.readAll(w.vms[0], "b1", 1, 8*time.Second), 9, "i1")
	resumed := map[string]bool{}
	for _, e := range w.engines {
		for _, r := range e.Runs() {
			resumed[r.Header.Get("Last-Event-Id")] = true
		}
	}
	w.is.True(resumed["4"] && resumed["8"])
}

func TestRefusedBatchNeverRuns(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	w.store.Set(func(s *errata.Store) { s.Down = true })
	a := w.call(w.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1"))
	w.is.Equal(a.status, http.StatusServiceUnavailable)
	w.is.True(a.header.Get("Retry-After") != "")
	w.store.Set(func(s *errata.Store) { s.Down = false })
	time.Sleep(time.Second)
	w.is.Equal(len(w.engines[0].Runs()), 0)
}

func TestLostAnswerOfTheStoreAcceptsOnce(t *testing.T) {
	w := newWorld(t, 1, 1, 2)
	w.store.Set(func(s *errata.Store) { s.LoseAnswers = 1 })
	a := w.call(w.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1", "i2"))
	w.is.True(a.status == http.StatusAccepted || a.status >= 500)
	w.is.Equal(w.call(w.vms[1], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1", "i2")).status, http.StatusAccepted)
	w.check(w.readAll(w.vms[1], "b1", 2, 8*time.Second), 4, "i1", "i2")
}

func TestEndedBatchIsNotRunByALaterVM(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	w.engines[0].Set(func(e *errata.Target) { e.Full = true })
	w.is.Equal(w.call(w.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1")).status, http.StatusAccepted)
	w.is.Equal(w.call(w.vms[0], http.MethodDelete, "/v1/lots/b1", "", "").status, http.StatusOK)
	w.is.Equal(w.call(w.vms[0], http.MethodDelete, "/v1/lots/b1", "", "").status, http.StatusOK) // again
	w.engines[0].Set(func(e *errata.Target) { e.Full = false })
	w.kill(w.vms[0])
	v := w.start("vm-1")
	time.Sleep(2500 * time.Millisecond)
	w.is.Equal(len(w.engines[0].Runs()), 0)
	p, status := w.read(v, "b1", 0)
	w.is.Equal(status, http.StatusOK)
	w.is.Equal(p.Total, 1)
}

func TestResultsOfAnEarlierStepAreReused(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	w.is.Equal(w.call(w.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1", "i2")).status, http.StatusAccepted)
	w.readAll(w.vms[0], "b1", 2, 5*time.Second)
	runs := len(w.engines[0].Runs())
	w.is.Equal(w.call(w.vms[0], http.MethodPost, "/notes/b2", "b2", submission(2, 1, "i1", "i2")).status, http.StatusAccepted)
	w.check(w.readAll(w.vms[0], "b2", 2, 5*time.Second), 4, "i1", "i2")
	w.is.Equal(len(w.engines[0].Runs()), runs)
	// A step that accepts only newer weights runs them again.
	w.name(2)
	w.is.Equal(w.call(w.vms[0], http.MethodPost, "/notes/b3", "b3", submission(3, 2, "i1", "i2")).status, http.StatusAccepted)
	for _, r := range w.readAll(w.vms[0], "b3", 2, 8*time.Second) {
		w.is.Equal(r.Versions, []int64{2})
	}
}

func TestItemThatAlwaysFailsIsGivenUp(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	w.engines[0].Set(func(e *errata.Target) { e.Fail = true })
	w.is.Equal(w.call(w.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1")).status, http.StatusAccepted)
	all := w.readAll(w.vms[0], "b1", 1, 5*time.Second)
	w.is.Equal(all[0].State, "terminated")
	w.is.Equal(len(w.engines[0].Runs()), 3) // the route's attempts
}

func TestConfigurationIsInForceWhenTheStoreMissesToWake(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	w.store.Set(func(s *errata.Store) { s.MissWaits = true })
	w.is.Equal(w.call(w.vms[0], http.MethodGet, "/new/x", "r1", "").status, http.StatusNotFound)
	w.configure(fmt.Sprintf(`,{"Name":"r-new","Host":%q,"PathPrefix":"/new/","Kind":"idempotent","TimeoutMs":1500,"TargetLatencyMs":150,"Service":"desk","MaxAttempts":2}`, host))
	time.Sleep(2 * time.Second) // the bound on a change
	w.is.Equal(w.call(w.vms[0], http.MethodGet, "/new/x", "r2", "").status, http.StatusOK)
	// An older configuration that comes late changes nothing.
	w.version -= 6
	w.configure("")
	time.Sleep(time.Second)
	w.is.Equal(w.call(w.vms[0], http.MethodGet, "/new/x", "r3", "").status, http.StatusOK)
}

func TestResultsReadAtOneVMAreReadAtTheOthers(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.store.Set(func(s *errata.Store) { s.MissWaits = true })
	w.is.Equal(w.call(w.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1", "i2", "i3")).status, http.StatusAccepted)
	for _, v := range w.vms {
		w.read(v, "b1", 0) // each follows the batch from now on
	}
	var listed []result
	w.eventually(8*time.Second, "a result", func() bool {
		p, _ := w.read(w.vms[0], "b1", 0)
		listed = p.Results
		return len(listed) > 0
	})
	for _, v := range w.vms {
		p, status := w.read(v, "b1", 0)
		w.is.Equal(status, http.StatusOK)
		w.is.True(len(p.Results) >= len(listed))
	}
}

func TestPlainRequests(t *testing.T) {
	w := newWorld(t, 0, 2, 1)
	a := w.call(w.vms[0], http.MethodPost, "/desk/entry?a=b%2Fc", "r1", "a correction")
	w.is.Equal(a.status, http.StatusOK)
	w.is.Equal(a.header.Get("Server-Stamp"), "stamp.r1")
	w.is.True(strings.HasSuffix(a.body, "a correction"))
	run := append(w.desks[0].Runs(), w.desks[1].Runs()...)[0]
	w.is.Equal(run.URI, "/desk/entry?a=b%2Fc")
	w.is.Equal(run.Host, host)
	w.is.True(run.Header.Get("Deadline-Ms") != "")
	w.is.Equal(w.call(w.vms[0], http.MethodPost, "/nowhere/x", "r2", "").status, http.StatusNotFound)
}

func TestIdempotentRequestsAreRepeated(t *testing.T) {
	w := newWorld(t, 0, 2, 1)
	for _, fault := range []func(*errata.Target){
		func(x *errata.Target) { x.LoseAnswers = 1 },
		func(x *errata.Target) { x.WrongID = 1 },
		func(x *errata.Target) { x.Full = true },
	} {
		for _, d := range w.desks {
			d.Set(func(x *errata.Target) { x.Full, x.LoseAnswers, x.WrongID = false, 0, 0 })
		}
		w.desks[0].Set(fault)
		for i := range 4 {
			id := fmt.Sprintf("r%d", i)
			a := w.call(w.vms[0], http.MethodPost, "/desk/x", id, "")
			w.is.Equal(a.status, http.StatusOK)
			w.is.Equal(a.header.Get("Server-Stamp"), "stamp."+id) // its own answer
		}
	}
}

func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	w := newWorld(t, 0, 2, 1)
	for _, d := range w.desks {
		d.Set(func(x *errata.Target) { x.LoseAnswers = 5 })
	}
	a := w.call(w.vms[0], http.MethodPost, "/file/x", "r1", "")
	w.is.Equal(a.status, http.StatusBadGateway) // it may have run, so nothing is promised
	w.is.Equal(len(w.desks[0].Runs())+len(w.desks[1].Runs()), 1)
	// A refusal says that it did not run.
	for _, d := range w.desks {
		d.Set(func(x *errata.Target) { x.Full = true })
	}
	a = w.call(w.vms[0], http.MethodPost, "/file/x", "r2", "")
	w.is.Equal(a.status, http.StatusServiceUnavailable)
	w.is.True(a.header.Get("Retry-After") != "")
	w.is.Equal(len(w.desks[0].Runs())+len(w.desks[1].Runs()), 1)
}

func TestDrainingTargetsGetNothingNew(t *testing.T) {
	w := newWorld(t, 0, 2, 1)
	w.desks[0].Register(w.store, "draining")
	time.Sleep(1500 * time.Millisecond)
	before := len(w.desks[0].Runs())
	for i := range 10 {
		w.is.Equal(w.call(w.vms[0], http.MethodPost, "/desk/x", fmt.Sprint("r", i), "").status, http.StatusOK)
	}
	w.is.Equal(len(w.desks[0].Runs()), before)
	// A removed one as well; garbage names no target and hides none.
	w.store.Put("keyed.servers", "desk-0", nil)
	w.store.Put("keyed.servers", "ghost", []byte(`{"Service":"desk","Address":7}`))
	w.store.Put("keyed.servers", "noise", bytes.Repeat([]byte{0xff}, 40))
	time.Sleep(1500 * time.Millisecond)
	w.is.Equal(w.call(w.vms[0], http.MethodPost, "/desk/x", "last", "").status, http.StatusOK)
	w.is.Equal(len(w.desks[0].Runs()), before)
}

func TestTargetsStayInUseThroughAnOutageOfTheStore(t *testing.T) {
	w := newWorld(t, 0, 1, 1)
	w.store.Set(func(s *errata.Store) { s.Down = true })
	time.Sleep(2 * time.Second)
	w.store.Put("keyed.servers", "desk-0", nil) // it lapsed meanwhile
	w.store.Set(func(s *errata.Store) { s.Down = false })
	for i := range 10 {
		w.is.Equal(w.call(w.vms[0], http.MethodPost, "/desk/x", fmt.Sprint("r", i), "").status, http.StatusOK)
		time.Sleep(100 * time.Millisecond)
	}
	// What has not come back by then is gone.
	w.eventually(4*time.Second, "the lapsed target is left", func() bool {
		return w.call(w.vms[0], http.MethodPost, "/desk/x", "late", "").status == http.StatusServiceUnavailable
	})
}

func TestVersionsFollowWhatTrainersName(t *testing.T) {
	w := newWorld(t, 5, 1, 2)
	w.is.Equal(w.call(w.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 1, "i1")).status, http.StatusAccepted)
	w.readAll(w.vms[0], "b1", 1, 5*time.Second)
	w.name(2)
	w.eventually(10*time.Second, "all engines run version 2", func() bool {
		for _, e := range w.engines {
			for _, o := range e.Orders() {
				if o.Version != 2 {
					t.Fatal("an engine was ordered", o.Version)
				}
			}
			if len(e.Orders()) == 0 {
				return false
			}
		}
		return true
	})
	for _, e := range w.engines {
		w.is.Equal(len(e.Orders()), 1) // each loads it once
	}
}

func TestOrdersOfTwoHoldersAreFarApart(t *testing.T) {
	w := newWorld(t, 2, 1, 2)
	w.name(2)
	w.eventually(10*time.Second, "an order", func() bool { return len(w.engines[0].Orders()) > 0 })
	first := w.engines[0].Orders()[0]
	for _, v := range w.vms {
		if v.name == first.Holder {
			w.kill(v)
		}
	}
	w.name(3)
	w.eventually(15*time.Second, "an order of the successor", func() bool { return len(w.engines[0].Orders()) > 1 })
	second := w.engines[0].Orders()[1]
	w.is.True(second.Holder != first.Holder)
	w.is.True(second.Token > first.Token)
	w.is.True(second.At.Sub(first.At) >= time.Second) // the settings' handover
}

func TestHolderStaysWhenOthersComeAndGo(t *testing.T) {
	w := newWorld(t, 1, 1, 2)
	w.name(2)
	w.eventually(10*time.Second, "an order", func() bool { return len(w.engines[0].Orders()) > 0 })
	first := w.engines[0].Orders()[0]
	for _, v := range w.vms {
		if v.name != first.Holder {
			w.kill(v)
		}
	}
	w.start("vm-2")
	w.start("vm-3")
	w.store.Set(func(s *errata.Store) { s.LoseAnswers = 2 })
	time.Sleep(2 * time.Second)
	w.name(3)
	w.eventually(10*time.Second, "another order", func() bool { return len(w.engines[0].Orders()) > 1 })
	second := w.engines[0].Orders()[1]
	w.is.Equal(second.Holder, first.Holder)
	w.is.Equal(second.Token, first.Token)
}

func TestPlannedStopHandsItemsOver(t *testing.T) {
	w := newWorld(t, 2, 1, 2)
	for _, e := range w.engines {
		e.Set(func(e *errata.Target) { e.Events, e.Pace = 60, 25*time.Millisecond })
	}
	w.is.Equal(w.call(w.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1", "i2")).status, http.StatusAccepted)
	w.eventually(5*time.Second, "the items run", func() bool { return len(w.engines[0].Runs())+len(w.engines[1].Runs()) == 2 })
	time.Sleep(400 * time.Millisecond)
	holder, other := w.holder()
	close(holder.stop)
	w.check(w.readAll(other, "b1", 2, 10*time.Second), 60, "i1", "i2")
	resumed := 0
	for _, e := range w.engines {
		for _, r := range e.Runs() {
			if r.Header.Get("Last-Event-Id") != "" {
				resumed++
			}
		}
	}
	w.is.True(resumed > 0) // the texts went on where they were
	w.is.Equal(<-holder.done, nil)
	holder.done <- nil
}

// holder returns the one of two VMs that runs the batches, and the other one.
func (w *world) holder() (holder, other *vm) {
	if w.vms[0].p.Holds("drafting") {
		return w.vms[0], w.vms[1]
	}
	return w.vms[1], w.vms[0]
}

func TestStoppingVMIsNotReadyAndStillAnswers(t *testing.T) {
	w := newWorld(t, 0, 1, 1)
	w.desks[0].Set(func(x *errata.Target) { x.Work = 800 * time.Millisecond })
	got := make(chan answer, 1)
	go func() { got <- w.call(w.vms[0], http.MethodPost, "/desk/x", "r1", "") }()
	time.Sleep(200 * time.Millisecond)
	close(w.vms[0].stop)
	w.eventually(time.Second, "not ready", func() bool {
		resp, err := http.Get("http://" + w.vms[0].ready + "/v1/ready")
		if err != nil {
			return true
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	a := <-got
	w.is.NoErr(a.err)
	w.is.Equal(a.status, http.StatusOK)
	w.is.Equal(<-w.vms[0].done, nil)
	w.vms[0].done <- nil
}

func TestStreamsAreForwardedAsTheyCome(t *testing.T) {
	w := newWorld(t, 2, 1, 1)
	w.configure(fmt.Sprintf(`,{"Name":"r-live","Host":%[1]q,"PathPrefix":"/live/","Kind":"streaming","Sticky":true,"TimeoutMs":5000,"TargetLatencyMs":300,"Service":"drafting","MaxAttempts":2},
		{"Name":"r-again","Host":%[1]q,"PathPrefix":"/again/","Kind":"streaming","Resumable":true,"TimeoutMs":5000,"TargetLatencyMs":300,"Service":"drafting","MaxAttempts":2}`, host))
	w.eventually(3*time.Second, "the routes are in force", func() bool {
		return w.call(w.vms[0], http.MethodPost, "/live/x", "probe", "", "Model", model).status == http.StatusOK
	})
	a := w.call(w.vms[0], http.MethodPost, "/live/x", "s1", "prompt", "Model", model)
	w.is.NoErr(a.err)
	w.is.Equal(a.header.Get("Server-Stamp"), "stamp.s1")
	w.is.Equal(strings.Count(a.body, "data: s1-"), 4)
	// A client resumes after the last event that it got.
	a = w.call(w.vms[0], http.MethodPost, "/again/x", "s2", "prompt", "Model", model, "Last-Event-Id", "2")
	w.is.NoErr(a.err)
	w.is.True(!strings.Contains(a.body, "id: 2") && strings.Contains(a.body, "id: 3"))
	// A stream that breaks must not look complete.
	for _, e := range w.engines {
		e.Set(func(e *errata.Target) { e.BreakAfter = 2 })
	}
	a = w.call(w.vms[0], http.MethodPost, "/live/x", "s3", "prompt", "Model", model)
	w.is.True(a.err != nil)
	runs := 0
	for _, e := range w.engines {
		for _, r := range e.Runs() {
			if r.ID == "s3" {
				runs++
			}
		}
	}
	w.is.Equal(runs, 1) // one that cannot resume runs at most once
}

func TestCallerThatLeavesCancelsItsRun(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	w.engines[0].Set(func(e *errata.Target) { e.Events, e.Pace = 200, 20*time.Millisecond })
	w.configure(fmt.Sprintf(`,{"Name":"r-live","Host":%q,"PathPrefix":"/live/","Kind":"streaming","TimeoutMs":9000,"TargetLatencyMs":300,"Service":"drafting","MaxAttempts":2}`, host))
	time.Sleep(1500 * time.Millisecond)
	c, err := net.Dial("tcp", w.vms[0].address)
	w.is.NoErr(err)
	fmt.Fprintf(c, "POST /live/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: s1\r\nModel: %s\r\nContent-Length: 0\r\n\r\n", host, model)
	w.eventually(3*time.Second, "the run begins", func() bool { return w.engines[0].Active() == 1 })
	c.Close()
	w.eventually(500*time.Millisecond, "the run ends", func() bool { return w.engines[0].Active() == 0 })
}

func TestLimitsOfTheConfigurationHold(t *testing.T) {
	w := newWorld(t, 0, 1, 1)
	w.is.Equal(w.call(w.vms[0], http.MethodPost, "/desk/x", "r1", strings.Repeat("x", 1<<20)).status, http.StatusOK)
	w.is.Equal(w.call(w.vms[0], http.MethodPost, "/desk/x", "r2", strings.Repeat("x", 1<<20+1)).status, http.StatusRequestEntityTooLarge)
	w.is.Equal(w.call(w.vms[0], http.MethodPost, "/desk/x", "r3", "", "X-Long", strings.Repeat("y", 20_000)).status, http.StatusRequestHeaderFieldsTooLarge)
	w.is.Equal(len(w.desks[0].Runs()), 1)
}
