package entry_test

import (
	"bytes"
	"cmp"
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

	"github.com/ibistrail/ibistrail/duties"
	"github.com/ibistrail/ibistrail/entry"
	"github.com/ibistrail/ibistrail/fake/errata"
	"github.com/ibistrail/ibistrail/internal/loopback"
	"github.com/ibistrail/ibistrail/platform"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/relay"
)

// Names used in the test deployment.
const (
	host  = "desk.example"
	model = "drafts"
)

// deployment is a deployment on loopback: a fake store, fake targets and VMs.
type deployment struct {
	t        *testing.T
	is       *is.I
	store    *errata.Store
	engines  []*errata.Target
	services []*errata.Target
	vms      []*vm
	version  int
	// tenants is JSON of the organisations in the configuration, with a leading comma; key is the API key of calls, if not empty.
	tenants, key string
	// moreServices is JSON of further services in the configuration, with a leading comma.
	moreServices string
	// adjust changes the settings of VMs that are started after it was set; it may be nil.
	adjust func(*entry.Settings)
	// cloud is the platform's API for duties, if its faults are set by VM; duties are the settings of VMs that are started after it was set.
	cloud *errata.Cloud
	// restarted is set if VMs that are started are not those of the deployment's first start.
	restarted bool
	duties    entry.DutySettings
	// memoryTokens is the size of the engines' memory in the next configuration; 0 if unknown.
	memoryTokens int
	// maxBodyBytes is the size limit of bodies in the next configuration; 0 means 1 MB.
	maxBodyBytes int
	log          lockedBuffer // log lines of all VMs
}

// vm is one entry VM.
type vm struct {
	name, address, readyAddress string
	storeAccess                 *storeAccess
	targetPath                  *targetPath
	cloudAccess                 *cloudAccess // nil without duties
	process                     *entry.Process
	stop                        chan struct{}
	done                        chan error
}

// newDeployment starts a deployment with the given numbers of engines, plain services and VMs.
func newDeployment(t *testing.T, engines, services, vms int) *deployment {
	t.Helper()
	t.Parallel()
	d := &deployment{t: t, is: is.New(t), store: errata.NewStore(4)}
	t.Cleanup(d.store.Close)
	for i := range engines {
		d.engines = append(d.engines, d.startTarget(fmt.Sprintf("engine-%d", i), "drafting", 4, model))
	}
	for i := range services {
		d.services = append(d.services, d.startTarget(fmt.Sprintf("desk-%d", i), "desk", 4))
	}
	d.configure("")
	for i := range vms {
		d.startVM(fmt.Sprintf("vm-%d", i))
	}
	return d
}

func (d *deployment) startTarget(id, service string, slots int, models ...string) *errata.Target {
	x := errata.NewTarget(id, service, "a", slots, models...)
	d.t.Cleanup(x.Close)
	x.Register(d.store, "ready")
	return x
}

// configure writes a configuration with a higher version. extra is JSON of further routes, with a leading comma.
func (d *deployment) configure(extra string) {
	d.version += 3
	d.store.Put("keyed.op", "config", []byte(fmt.Sprintf(`{"Version":%d,"Routes":[
		{"Name":"r-desk","Host":%[2]q,"PathPrefix":"/desk/","Kind":"idempotent","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":2,"Service":"desk","MaxAttempts":2},
		{"Name":"r-file","Host":%[2]q,"PathPrefix":"/file/","Kind":"non_idempotent","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":2,"Service":"desk","MaxAttempts":2},
		{"Name":"r-notes","Host":%[2]q,"PathPrefix":"/notes/","Kind":"rollout","TargetLatencyMs":500,"RunDeadlineMs":7500,"RetentionS":40,"Priority":0,"Service":"drafting","MaxAttempts":3}%[3]s],
		"Services":[{"Name":"desk","HealthPath":"/healthz","MaxConns":100},
		{"Name":"drafting","HealthPath":"/healthz","MaxConns":100,"Engine":{"Slots":4,"Stride":10,"KvCapacity":%[6]d,"Models":[{"Name":%[4]q}]}}%[8]s],
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":%[7]d,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}%[5]s}`, d.version, host, extra, model, d.tenants, d.memoryTokens,
		cmp.Or(d.maxBodyBytes, 1<<20), d.moreServices)))
}

// nameVersion names a new weight version, as a trainer does.
func (d *deployment) nameVersion(version int) {
	d.store.Put("keyed.op", "version/"+model, []byte(fmt.Sprintf(`{"Model":%q,"Version":%d}`, model, version)))
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

// startVM starts a VM and waits until it is ready.
func (d *deployment) startVM(name string) *vm {
	d.t.Helper()
	return d.startVMWithin(name, 3*time.Second)
}

// startVMWithin starts a VM and waits for the given time until it is ready.
func (d *deployment) startVMWithin(name string, within time.Duration) *vm {
	d.t.Helper()
	v := d.launchVM(name)
	d.eventually(within, name+" is ready", v.process.Ready)
	return v
}

// launchVM starts a VM.
func (d *deployment) launchVM(name string) *vm {
	d.t.Helper()
	v := &vm{name: name, address: freeAddress(d.t), readyAddress: freeAddress(d.t), storeAccess: newStoreAccess(d.t, d.store), targetPath: newTargetPath(d.t), stop: make(chan struct{}), done: make(chan error, 1)}
	targets := platform.NewTargetClient(v.targetPath.dial)
	log := process.NewLogger(io.MultiWriter(d.t.Output(), &d.log), slog.LevelInfo, "entry", name)
	transport := platform.NewStoreTransport(v.storeAccess.address(), log)
	st := platform.NewStoreClient(v.storeAccess.address(), transport, nil)
	relayAddress, rpcAddress := freeAddress(d.t), freeAddress(d.t)
	settings := entry.Settings{
		VM: name, AvailabilityZone: "a", IP: name, ListenAddress: v.address, ReadyAddress: v.readyAddress, StoreAddress: v.storeAccess.address(), RelayAddress: relayAddress, RPCAddress: rpcAddress,
		Partitions: 4, RecordBytes: 4096, CallBytes: 1 << 20, StopGrace: 4 * time.Second,
		OrderHandover: time.Second, BatchRetention: time.Minute, Duties: d.duties, FirstStart: !d.restarted,
	}
	if d.adjust != nil {
		d.adjust(&settings)
	}
	var dutyAPI duties.API
	if d.cloud != nil {
		v.cloudAccess = &cloudAccess{CloudClient: platform.NewCloudClient(d.cloud.Address())}
		dutyAPI = v.cloudAccess
	} else if d.duties.Address != "" {
		dutyAPI = platform.NewCloudClient(d.duties.Address)
	}
	v.process = entry.New(entry.Options{
		Settings: settings, DutyAPI: dutyAPI, Log: log, Store: st, Relay: platform.NewStoreRelay(v.storeAccess.address(), 1<<20, transport),
		Peers:    &relay.Directory{Store: st, Topic: platform.TopicPeers, VM: name, AvailabilityZone: "a", Address: relayAddress, RPCAddress: rpcAddress, Transport: transport, Log: log},
		Isolated: transport.Isolated, Client: targets, Engines: targets, Sources: platform.Sources(), CrashTopic: platform.TopicCrashes, SoftwareTopic: platform.TopicSoftware,
		BootTime: process.BootTime, Dial: platform.DialPeer, ReadyHandler: platform.ReadyHandler,
		Handler: func(p *entry.Process) http.Handler {
			return (&platform.Ingress{View: p.View, Requests: organisationHandler{p.Forwarder}, Batches: p.Batches, Keys: p.Keys, Memory: p.Memory, Pages: p.Pages, ShuttingDown: p.ShuttingDown, Log: log}).Handler()
		},
	})
	targets.View = v.process.View
	go func() { v.done <- v.process.Run(v.stop) }()
	d.vms = append(d.vms, v)
	d.t.Cleanup(func() { d.kill(v) })
	return v
}

// kill ends a VM without a graceful shutdown.
func (d *deployment) kill(v *vm) {
	v.process.Abort()
	select {
	case err := <-v.done:
		v.done <- err
	case <-time.After(5 * time.Second):
		d.t.Error(v.name, "did not end within 5 s")
	}
}

func (d *deployment) eventually(within time.Duration, what string, ok func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(within); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.t.Fatalf("condition not met within %s: %s", within, what)
		}
	}
}

// response is the response that a client received.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request as a client does.
func (d *deployment) call(v *vm, method, path, id string, body string, headers ...string) response {
	req, err := http.NewRequest(method, "http://"+v.address+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	req.Host = host
	if id != "" {
		req.Header.Set("Request-Id", id)
		req.Header.Set("Deadline-Ms", "3000")
	}
	if d.key != "" {
		req.Header.Set("Authorization", "Token "+d.key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(data), err}
}

// submission returns the body of a batch submission.
func submission(step, minVersion int, items ...string) string {
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
	}{Step: step, MinVersion: minVersion, DesiredCount: 1, Model: model}
	for _, id := range items {
		doc.Items = append(doc.Items, item{
			Id: id, Path: "/notes/" + id, Body: base64.StdEncoding.EncodeToString([]byte("prompt of " + id)), Group: "g",
			Headers: map[string]string{"Model": model, "Length-Hint": "40"}, Scorer: &scorer{"score-" + id, host, "/desk/score", base64.StdEncoding.EncodeToString([]byte("score of " + id))},
		})
	}
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err) // the document is built here
	}
	return string(data)
}

// result is an item in a page of results, as encoded on the wire.
type result struct {
	Id, State, Text, Score string
	Versions               []int64
}

// page is a page of a batch's results, as encoded on the wire.
type page struct {
	Total, Next int
	Results     []result
}

// readPage reads a batch's results from a position on. It returns the page and the HTTP status.
func (d *deployment) readPage(v *vm, batch string, after int) (page, int) {
	d.t.Helper()
	a := d.call(v, http.MethodGet, fmt.Sprintf("/v1/lots/%s?After=%d", batch, after), "", "", "Wait-Ms", "200")
	if a.err != nil || a.status != http.StatusOK {
		return page{}, a.status
	}
	var p page
	if err := json.Unmarshal([]byte(a.body), &p); err != nil {
		d.t.Fatalf("%s: %v", a.body, err)
	}
	return p, a.status
}

// readAll reads a batch's results until all items are listed.
func (d *deployment) readAll(v *vm, batch string, total int, within time.Duration) []result {
	d.t.Helper()
	var all []result
	d.eventually(within, fmt.Sprintf("all %d results of %s are listed", total, batch), func() bool {
		p, status := d.readPage(v, batch, len(all))
		if status == http.StatusOK && p.Total != total {
			d.t.Fatalf("got a total of %d items, want %d", p.Total, total)
		}
		all = append(all, p.Results...)
		return len(all) >= total
	})
	return all
}

// checkResults checks that the results hold each item exactly once, completed and with its full text.
func (d *deployment) checkResults(results []result, events int, items ...string) {
	d.t.Helper()
	seen := map[string]bool{}
	for _, r := range results {
		d.is.True(!seen[r.Id]) // an item is listed once
		seen[r.Id] = true
		d.is.Equal(r.State, "completed")
		d.is.Equal(r.Text, errata.Text(r.Id, events))
		d.is.Equal(r.Score, "stamp.score-"+r.Id)
	}
	for _, id := range items {
		d.is.True(seen[id]) // each item is listed
	}
}

func TestBatchResultsAreIdenticalAtEachVM(t *testing.T) {
	d := newDeployment(t, 2, 1, 3)
	items := []string{"i1", "i2", "i3", "i4", "i5", "i6", "i7", "i8", "i9", "i10"}
	body := submission(1, 0, items...)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", body).status, http.StatusAccepted)
	d.is.Equal(d.call(d.vms[1], http.MethodPost, "/notes/b1", "b1", body).status, http.StatusAccepted) // repeated at another VM
	all := d.readAll(d.vms[2], "b1", len(items), 5*time.Second)
	d.checkResults(all, 4, items...)
	d.is.Equal(all[0].Versions, []int64{1})
	for _, v := range d.vms {
		d.is.Equal(d.readAll(v, "b1", len(items), 3*time.Second), all) // the same at each VM
	}
	for _, e := range d.engines {
		for _, r := range e.ExecutedRequests() {
			d.is.Equal(r.Method, http.MethodPost)
			d.is.Equal(r.Host, host)
			d.is.Equal(string(r.Body), "prompt of "+r.ID)
		}
	}
	_, status := d.readPage(d.vms[0], "nobody", 0)
	d.is.Equal(status, http.StatusNotFound)
}

func TestBatchCompletesAfterAllVMsAreReplaced(t *testing.T) {
	d := newDeployment(t, 2, 1, 2)
	for _, e := range d.engines {
		e.Set(func(e *errata.Target) { e.EventsPerStream, e.EventInterval = 30, 20*time.Millisecond })
	}
	items := []string{"i1", "i2", "i3"}
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, items...)).status, http.StatusAccepted)
	d.eventually(3*time.Second, "an item runs", func() bool { return len(d.engines[0].ExecutedRequests())+len(d.engines[1].ExecutedRequests()) > 0 })
	d.kill(d.vms[0])
	d.kill(d.vms[1])
	v := d.startVM("vm-2")
	a := d.call(v, http.MethodGet, "/v1/items/b1?Id=i2", "", "")
	d.is.Equal(a.status, http.StatusOK)
	d.is.Equal(a.body, "prompt of i2")
	d.checkResults(d.readAll(v, "b1", len(items), 10*time.Second), 30, items...)
}

func TestItemResumesAfterLastEventOfBrokenStream(t *testing.T) {
	d := newDeployment(t, 2, 1, 1)
	for _, e := range d.engines {
		e.Set(func(e *errata.Target) { e.EventsPerStream, e.ResetStreamAfter = 9, 4 })
	}
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1")).status, http.StatusAccepted)
	d.checkResults(d.readAll(d.vms[0], "b1", 1, 8*time.Second), 9, "i1")
	resumed := map[string]bool{}
	for _, e := range d.engines {
		for _, r := range e.ExecutedRequests() {
			resumed[r.Header.Get("Last-Event-Id")] = true
		}
	}
	d.is.True(resumed["4"] && resumed["8"])
}

func TestRejectedBatchNeverRuns(t *testing.T) {
	d := newDeployment(t, 1, 1, 1)
	d.store.Set(func(s *errata.Store) { s.Down = true })
	a := d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1"))
	d.is.Equal(a.status, http.StatusServiceUnavailable)
	d.is.True(a.header.Get("Retry-After") != "")
	d.store.Set(func(s *errata.Store) { s.Down = false })
	time.Sleep(time.Second)
	d.is.Equal(len(d.engines[0].ExecutedRequests()), 0)
}

func TestBatchIsAcceptedOnceWhenStoreAnswerIsLost(t *testing.T) {
	d := newDeployment(t, 1, 1, 2)
	d.store.Set(func(s *errata.Store) { s.LoseAnswers = 1 })
	a := d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1", "i2"))
	d.is.True(a.status == http.StatusAccepted || a.status >= 500)
	d.is.Equal(d.call(d.vms[1], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1", "i2")).status, http.StatusAccepted)
	d.checkResults(d.readAll(d.vms[1], "b1", 2, 8*time.Second), 4, "i1", "i2")
}

func TestEndedBatchIsNotRunAfterVMRestart(t *testing.T) {
	d := newDeployment(t, 1, 1, 1)
	d.engines[0].Set(func(e *errata.Target) { e.Full = true })
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1")).status, http.StatusAccepted)
	d.is.Equal(d.call(d.vms[0], http.MethodDelete, "/v1/lots/b1", "", "").status, http.StatusOK)
	d.is.Equal(d.call(d.vms[0], http.MethodDelete, "/v1/lots/b1", "", "").status, http.StatusOK) // repeated
	d.engines[0].Set(func(e *errata.Target) { e.Full = false })
	d.kill(d.vms[0])
	v := d.startVM("vm-1")
	time.Sleep(2500 * time.Millisecond)
	d.is.Equal(len(d.engines[0].ExecutedRequests()), 0)
	p, status := d.readPage(v, "b1", 0)
	d.is.Equal(status, http.StatusOK)
	d.is.Equal(p.Total, 1)
}

func TestResultsOfAnEarlierStepAreReused(t *testing.T) {
	d := newDeployment(t, 1, 1, 1)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1", "i2")).status, http.StatusAccepted)
	d.readAll(d.vms[0], "b1", 2, 5*time.Second)
	runs := len(d.engines[0].ExecutedRequests())
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b2", "b2", submission(2, 1, "i1", "i2")).status, http.StatusAccepted)
	d.checkResults(d.readAll(d.vms[0], "b2", 2, 5*time.Second), 4, "i1", "i2")
	d.is.Equal(len(d.engines[0].ExecutedRequests()), runs)
	// A step that accepts only newer weights runs them again.
	d.nameVersion(2)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b3", "b3", submission(3, 2, "i1", "i2")).status, http.StatusAccepted)
	for _, r := range d.readAll(d.vms[0], "b3", 2, 8*time.Second) {
		d.is.Equal(r.Versions, []int64{2})
	}
}

func TestItemIsTerminatedAfterMaxAttempts(t *testing.T) {
	d := newDeployment(t, 1, 1, 1)
	d.engines[0].Set(func(e *errata.Target) { e.Fail = true })
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1")).status, http.StatusAccepted)
	all := d.readAll(d.vms[0], "b1", 1, 5*time.Second)
	d.is.Equal(all[0].State, "terminated")
	d.is.Equal(len(d.engines[0].ExecutedRequests()), 3) // MaxAttempts of the route
}

// TestFailedAttemptsAreCountedAcrossHolders kills each holder after an item's second error: the next one must not begin to
// count anew, or an item that always fails is sent without end.
func TestFailedAttemptsAreCountedAcrossHolders(t *testing.T) {
	d := newDeployment(t, 1, 1, 6)
	d.engines[0].Set(func(e *errata.Target) { e.Fail = true })
	runs := func() int { return len(d.engines[0].ExecutedRequests()) }
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1")).status, http.StatusAccepted)
	const idle = 3 * time.Second // longer than any takeover
	for seen, lastRun := 0, time.Now(); time.Since(lastRun) < idle; time.Sleep(time.Millisecond) {
		n := runs()
		if n == seen {
			continue
		}
		lastRun = time.Now()
		if n%2 == 1 {
			seen = n
			continue
		}
		seen = n
		for i, v := range d.vms {
			if len(d.vms) > 1 && v.process.HoldsPool("drafting") {
				d.kill(v)
				d.vms = append(d.vms[:i], d.vms[i+1:]...)
				break
			}
		}
	}
	all := d.readAll(d.vms[0], "b1", 1, 5*time.Second)
	d.is.Equal(all[0].State, "terminated")
	t.Log("runs:", runs())
	d.is.True(runs() <= 9) // three times MaxAttempts of the route
}

// TestFailingScoringCallEndsInSmallPools guards against a scoring call that is sent without end where the scorers' pool has fewer targets
// than its route allows attempts, also if its holder is lost: its item must be listed as abandoned.
func TestFailingScoringCallEndsInSmallPools(t *testing.T) {
	const maxAttempts = 2 // of the route
	for services := 1; services <= 3; services++ {
		for _, killHolder := range []bool{false, true} {
			t.Run(fmt.Sprintf("services=%d/holder killed=%t", services, killHolder), func(t *testing.T) {
				d := newDeployment(t, 2, services, 4)
				for _, s := range d.services {
					s.Set(func(s *errata.Target) { s.Fail = true })
				}
				runs := func() (n int) {
					for _, s := range d.services {
						n += len(s.ExecutedRequests())
					}
					return n
				}
				d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(0, 0, "i1")).status, http.StatusAccepted)
				allowed := maxAttempts
				if killHolder {
					d.eventually(5*time.Second, "the scoring call runs", func() bool { return runs() > 0 })
					for i, v := range d.vms {
						if v.process.HoldsPool("drafting") {
							d.kill(v)
							d.vms = append(d.vms[:i], d.vms[i+1:]...)
							allowed += maxAttempts
							break
						}
					}
				}
				d.is.Equal(d.readAll(d.vms[0], "b1", 1, 8*time.Second)[0].State, "terminated")
				d.is.True(runs() <= allowed)
			})
		}
	}
}

func TestConfigurationAppliesWhenStoreDoesNotEndWait(t *testing.T) {
	d := newDeployment(t, 1, 1, 1)
	d.store.Set(func(s *errata.Store) { s.IgnoreLongPollWakeups = true })
	d.is.Equal(d.call(d.vms[0], http.MethodGet, "/new/x", "r1", "").status, http.StatusNotFound)
	d.configure(fmt.Sprintf(`,{"Name":"r-new","Host":%q,"PathPrefix":"/new/","Kind":"idempotent","TimeoutMs":1500,"TargetLatencyMs":150,"Service":"desk","MaxAttempts":2}`, host))
	time.Sleep(2 * time.Second) // the time within which a change must take effect
	d.is.Equal(d.call(d.vms[0], http.MethodGet, "/new/x", "r2", "").status, http.StatusOK)
	// An older configuration that arrives late is ignored.
	d.version -= 6
	d.configure("")
	time.Sleep(time.Second)
	d.is.Equal(d.call(d.vms[0], http.MethodGet, "/new/x", "r3", "").status, http.StatusOK)
}

func TestResultsVisibleAtOneVMAreVisibleAtOthers(t *testing.T) {
	d := newDeployment(t, 1, 1, 3)
	d.store.Set(func(s *errata.Store) { s.IgnoreLongPollWakeups = true })
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1", "i2", "i3")).status, http.StatusAccepted)
	for _, v := range d.vms {
		d.readPage(v, "b1", 0) // makes each VM follow the batch
	}
	var listed []result
	d.eventually(8*time.Second, "a result is listed", func() bool {
		p, _ := d.readPage(d.vms[0], "b1", 0)
		listed = p.Results
		return len(listed) > 0
	})
	for _, v := range d.vms {
		p, status := d.readPage(v, "b1", 0)
		d.is.Equal(status, http.StatusOK)
		d.is.True(len(p.Results) >= len(listed))
	}
}

func TestPlainRequests(t *testing.T) {
	d := newDeployment(t, 0, 2, 1)
	a := d.call(d.vms[0], http.MethodPost, "/desk/entry?a=b%2Fc", "r1", "a correction")
	d.is.Equal(a.status, http.StatusOK)
	d.is.Equal(a.header.Get("Server-Stamp"), "stamp.r1")
	d.is.True(strings.HasSuffix(a.body, "a correction"))
	run := append(d.services[0].ExecutedRequests(), d.services[1].ExecutedRequests()...)[0]
	d.is.Equal(run.URI, "/desk/entry?a=b%2Fc")
	d.is.Equal(run.Host, host)
	d.is.True(run.Header.Get("Deadline-Ms") != "")
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/nowhere/x", "r2", "").status, http.StatusNotFound)
}

func TestIdempotentRequestsAreRetried(t *testing.T) {
	d := newDeployment(t, 0, 2, 1)
	for _, fault := range []func(*errata.Target){
		func(x *errata.Target) { x.LoseAnswers = 1 },
		func(x *errata.Target) { x.WrongIDAnswers = 1 },
		func(x *errata.Target) { x.Full = true },
	} {
		for _, target := range d.services {
			target.Set(func(x *errata.Target) { x.Full, x.LoseAnswers, x.WrongIDAnswers = false, 0, 0 })
		}
		d.services[0].Set(fault)
		for i := range 4 {
			id := fmt.Sprintf("r%d", i)
			a := d.call(d.vms[0], http.MethodPost, "/desk/x", id, "")
			d.is.Equal(a.status, http.StatusOK)
			d.is.Equal(a.header.Get("Server-Stamp"), "stamp."+id) // the answer to this request, not to another one
		}
	}
}

func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	d := newDeployment(t, 0, 2, 1)
	for _, target := range d.services {
		target.Set(func(x *errata.Target) { x.LoseAnswers = 5 })
	}
	a := d.call(d.vms[0], http.MethodPost, "/file/x", "r1", "")
	d.is.Equal(a.status, http.StatusBadGateway) // it may have run, so it must not be reported as not run
	d.is.Equal(len(d.services[0].ExecutedRequests())+len(d.services[1].ExecutedRequests()), 1)
	// The target reports that it did not run the request.
	for _, target := range d.services {
		target.Set(func(x *errata.Target) { x.Full = true })
	}
	a = d.call(d.vms[0], http.MethodPost, "/file/x", "r2", "")
	d.is.Equal(a.status, http.StatusServiceUnavailable)
	d.is.True(a.header.Get("Retry-After") != "")
	d.is.Equal(len(d.services[0].ExecutedRequests())+len(d.services[1].ExecutedRequests()), 1)
}

func TestDrainingTargetsReceiveNoNewRequests(t *testing.T) {
	d := newDeployment(t, 0, 2, 1)
	d.services[0].Register(d.store, "draining")
	time.Sleep(1500 * time.Millisecond)
	before := len(d.services[0].ExecutedRequests())
	for i := range 10 {
		d.is.Equal(d.call(d.vms[0], http.MethodPost, "/desk/x", fmt.Sprint("r", i), "").status, http.StatusOK)
	}
	d.is.Equal(len(d.services[0].ExecutedRequests()), before)
	// The same holds for a removed target. Invalid registrations add no target and hide none.
	d.store.Put("keyed.servers", "desk-0", nil)
	d.store.Put("keyed.servers", "ghost", []byte(`{"Service":"desk","Address":7}`))
	d.store.Put("keyed.servers", "noise", bytes.Repeat([]byte{0xff}, 40))
	time.Sleep(1500 * time.Millisecond)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/desk/x", "last", "").status, http.StatusOK)
	d.is.Equal(len(d.services[0].ExecutedRequests()), before)
}

func TestTargetsRemainUsableDuringStoreOutage(t *testing.T) {
	d := newDeployment(t, 0, 1, 1)
	d.store.Set(func(s *errata.Store) { s.Down = true })
	time.Sleep(2 * time.Second)
	d.store.Put("keyed.servers", "desk-0", nil) // its registration lapsed during the outage
	d.store.Set(func(s *errata.Store) { s.Down = false })
	for i := range 10 {
		d.is.Equal(d.call(d.vms[0], http.MethodPost, "/desk/x", fmt.Sprint("r", i), "").status, http.StatusOK)
		time.Sleep(100 * time.Millisecond)
	}
	// A target that does not register again is dropped after the grace period.
	d.eventually(4*time.Second, "the lapsed target is no longer used", func() bool {
		return d.call(d.vms[0], http.MethodPost, "/desk/x", "late", "").status == http.StatusServiceUnavailable
	})
}

func TestEnginesLoadNamedVersionOnce(t *testing.T) {
	d := newDeployment(t, 5, 1, 2)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 1, "i1")).status, http.StatusAccepted)
	d.readAll(d.vms[0], "b1", 1, 5*time.Second)
	d.nameVersion(2)
	d.eventually(10*time.Second, "all engines run version 2", func() bool {
		for _, e := range d.engines {
			for _, o := range e.AcceptedOrders() {
				if o.Version != 2 {
					t.Fatal("an engine was ordered to load version", o.Version)
				}
			}
			if len(e.AcceptedOrders()) == 0 {
				return false
			}
		}
		return true
	})
	for _, e := range d.engines {
		d.is.Equal(len(e.AcceptedOrders()), 1) // each engine is ordered to load the version once
	}
}

func TestOrdersOfSuccessiveHoldersRespectHandoverDelay(t *testing.T) {
	d := newDeployment(t, 2, 1, 2)
	d.nameVersion(2)
	d.eventually(10*time.Second, "the first order arrives", func() bool { return len(d.engines[0].AcceptedOrders()) > 0 })
	first := d.engines[0].AcceptedOrders()[0]
	for _, v := range d.vms {
		if v.name == first.Holder {
			d.kill(v)
		}
	}
	d.nameVersion(3)
	d.eventually(15*time.Second, "an order of the next holder", func() bool { return len(d.engines[0].AcceptedOrders()) > 1 })
	second := d.engines[0].AcceptedOrders()[1]
	d.is.True(second.Holder != first.Holder)
	d.is.True(second.Token > first.Token)
	d.is.True(second.At.Sub(first.At) >= time.Second) // Settings.OrderHandover
}

func TestTenureHolderIsStableWhenOtherVMsRestart(t *testing.T) {
	d := newDeployment(t, 1, 1, 2)
	d.nameVersion(2)
	d.eventually(10*time.Second, "the first order arrives", func() bool { return len(d.engines[0].AcceptedOrders()) > 0 })
	first := d.engines[0].AcceptedOrders()[0]
	for _, v := range d.vms {
		if v.name != first.Holder {
			d.kill(v)
		}
	}
	d.startVM("vm-2")
	d.startVM("vm-3")
	d.store.Set(func(s *errata.Store) { s.LoseAnswers = 2 })
	time.Sleep(2 * time.Second)
	d.nameVersion(3)
	d.eventually(10*time.Second, "a second order arrives", func() bool { return len(d.engines[0].AcceptedOrders()) > 1 })
	second := d.engines[0].AcceptedOrders()[1]
	d.is.Equal(second.Holder, first.Holder)
	d.is.Equal(second.Token, first.Token)
}

func TestItemsResumeAtOtherVMAfterPlannedStop(t *testing.T) {
	d := newDeployment(t, 2, 1, 2)
	for _, e := range d.engines {
		e.Set(func(e *errata.Target) { e.EventsPerStream, e.EventInterval = 60, 25*time.Millisecond })
	}
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1", "i2")).status, http.StatusAccepted)
	d.eventually(5*time.Second, "the items run", func() bool { return len(d.engines[0].ExecutedRequests())+len(d.engines[1].ExecutedRequests()) == 2 })
	time.Sleep(400 * time.Millisecond)
	holder, other := d.holder()
	close(holder.stop)
	d.checkResults(d.readAll(other, "b1", 2, 10*time.Second), 60, "i1", "i2")
	resumed := 0
	for _, e := range d.engines {
		for _, r := range e.ExecutedRequests() {
			if r.Header.Get("Last-Event-Id") != "" {
				resumed++
			}
		}
	}
	d.is.True(resumed > 0) // at least one item resumed after its last event
	d.is.Equal(<-holder.done, nil)
	holder.done <- nil
}

// holder returns the VM that runs the batches and orders the engines, and another one.
func (d *deployment) holder() (holder, other *vm) {
	d.t.Helper()
	for _, v := range d.vms {
		if v.process.HoldsPool("drafting") {
			holder = v
		} else {
			other = v
		}
	}
	if holder == nil {
		d.t.Fatal("no VM holds the pool")
	}
	return holder, other
}

func TestStoppingVMIsNotReadyButAnswersOpenRequests(t *testing.T) {
	d := newDeployment(t, 0, 1, 1)
	d.services[0].Set(func(x *errata.Target) { x.RequestDuration = 800 * time.Millisecond })
	got := make(chan response, 1)
	go func() { got <- d.call(d.vms[0], http.MethodPost, "/desk/x", "r1", "") }()
	time.Sleep(200 * time.Millisecond)
	close(d.vms[0].stop)
	d.eventually(time.Second, "the readiness check fails", func() bool {
		resp, err := http.Get("http://" + d.vms[0].readyAddress + "/v1/ready")
		if err != nil {
			return true
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	a := <-got
	d.is.NoErr(a.err)
	d.is.Equal(a.status, http.StatusOK)
	d.is.Equal(<-d.vms[0].done, nil)
	d.vms[0].done <- nil
}

func TestStreamingRequests(t *testing.T) {
	d := newDeployment(t, 2, 1, 1)
	d.configure(fmt.Sprintf(`,{"Name":"r-live","Host":%[1]q,"PathPrefix":"/live/","Kind":"streaming","Sticky":true,"TimeoutMs":5000,"TargetLatencyMs":300,"Service":"drafting","MaxAttempts":2},
		{"Name":"r-again","Host":%[1]q,"PathPrefix":"/again/","Kind":"streaming","Resumable":true,"TimeoutMs":5000,"TargetLatencyMs":300,"Service":"drafting","MaxAttempts":2}`, host))
	d.eventually(3*time.Second, "the routes are in force", func() bool {
		return d.call(d.vms[0], http.MethodPost, "/live/x", "probe", "", "Model", model).status == http.StatusOK
	})
	a := d.call(d.vms[0], http.MethodPost, "/live/x", "s1", "prompt", "Model", model)
	d.is.NoErr(a.err)
	d.is.Equal(a.header.Get("Server-Stamp"), "stamp.s1")
	d.is.Equal(strings.Count(a.body, "data: s1-"), 4)
	// A client resumes after the last event that it received.
	a = d.call(d.vms[0], http.MethodPost, "/again/x", "s2", "prompt", "Model", model, "Last-Event-Id", "2")
	d.is.NoErr(a.err)
	d.is.True(!strings.Contains(a.body, "id: 2") && strings.Contains(a.body, "id: 3"))
	// A broken stream must not look complete to the client.
	for _, e := range d.engines {
		e.Set(func(e *errata.Target) { e.ResetStreamAfter = 2 })
	}
	a = d.call(d.vms[0], http.MethodPost, "/live/x", "s3", "prompt", "Model", model)
	d.is.True(a.err != nil)
	runs := 0
	for _, e := range d.engines {
		for _, r := range e.ExecutedRequests() {
			if r.ID == "s3" {
				runs++
			}
		}
	}
	d.is.Equal(runs, 1) // a stream that cannot resume runs at most once
}

func TestRunIsCanceledWhenCallerDisconnects(t *testing.T) {
	d := newDeployment(t, 1, 1, 1)
	d.engines[0].Set(func(e *errata.Target) { e.EventsPerStream, e.EventInterval = 200, 20*time.Millisecond })
	d.configure(fmt.Sprintf(`,{"Name":"r-live","Host":%q,"PathPrefix":"/live/","Kind":"streaming","TimeoutMs":9000,"TargetLatencyMs":300,"Service":"drafting","MaxAttempts":2}`, host))
	time.Sleep(1500 * time.Millisecond)
	c, err := net.Dial("tcp", d.vms[0].address)
	d.is.NoErr(err)
	fmt.Fprintf(c, "POST /live/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: s1\r\nModel: %s\r\nContent-Length: 0\r\n\r\n", host, model)
	d.eventually(3*time.Second, "the run begins", func() bool { return d.engines[0].Active() == 1 })
	c.Close()
	d.eventually(500*time.Millisecond, "the run ends", func() bool { return d.engines[0].Active() == 0 })
}

func TestConfiguredSizeLimitsAreEnforced(t *testing.T) {
	d := newDeployment(t, 0, 1, 1)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/desk/x", "r1", strings.Repeat("x", 1<<20)).status, http.StatusOK)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/desk/x", "r2", strings.Repeat("x", 1<<20+1)).status, http.StatusRequestEntityTooLarge)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/desk/x", "r3", "", "X-Long", strings.Repeat("y", 20_000)).status, http.StatusRequestHeaderFieldsTooLarge)
	d.is.Equal(len(d.services[0].ExecutedRequests()), 1)
}
