package entry_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/ibistrail/ibistrail/fake/errata"
)

// Environment variables of the soak: its first seed, the number of seeds, the directory for logs and events (kept), and another
// ibisentry to run, such as one of an earlier revision.
const (
	soakSeedEnv  = "IBISTRAIL_SOAK_SEED"
	soakSeedsEnv = "IBISTRAIL_SOAK_SEEDS"
	soakDirEnv   = "IBISTRAIL_SOAK_DIR"
	soakBinEnv   = "IBISTRAIL_SOAK_BINARY"
)

// Sizes and times of a run.
const (
	soakVMs       = 6
	soakEngines   = 4
	soakServices  = 4
	soakDuration  = 12 * time.Second
	soakSettle    = 10 * time.Second
	soakLimit     = 4.0             // requests a second that each service accepts while the run settles
	soakBudget    = 3 * time.Second // of callers, as call sends it
	soakBatchTime = 40 * time.Second
	// budgetSlack is that of rule BUDGET, maxBudgetCases the least of its bounds.
	budgetSlack    = 500 * time.Millisecond
	maxBudgetCases = 3
	// stableTime is how long after the third crash by a request VMs may still send it freely.
	stableTime = 3 * time.Second
)

// TestProcessesUnderFaults runs ibisentry as separate processes before the stand-ins of the platform. Processes are paused, killed,
// stopped and restarted by signals, their ways to the store delayed, reset, silenced and cut one way, targets crash and
// lose answers, tables and versions change. Callers use it meanwhile, and the promises are judged from what they and the targets saw.
func TestProcessesUnderFaults(t *testing.T) {
	binary := os.Getenv(soakBinEnv)
	if binary == "" {
		binary = filepath.Join(t.TempDir(), "ibisentry")
		buildIbisentry(t, binary)
	}
	first, seeds := soakNumber(soakSeedEnv, 1), soakNumber(soakSeedsEnv, 1)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runProcessSoak(t, []string{binary}, uint64(seed)) })
	}
}

// TestBuildsBeforeAndAfterServeTogether runs the soak on VMs of the build of the last landing and of this one, each of which changes to the
// other build whenever it is restarted. It guards against records in the store, or messages between VMs, that one of the builds
// can't read. The build before is that of the deploy file.
func TestBuildsBeforeAndAfterServeTogether(t *testing.T) {
	dir := t.TempDir()
	before, after := filepath.Join(dir, "before"), filepath.Join(dir, "after")
	buildProduction(t, filepath.Join(dir, "source"), before)
	buildIbisentry(t, after)
	first, seeds := soakNumber(soakSeedEnv, 1), soakNumber(soakSeedsEnv, 1)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runProcessSoak(t, []string{before, after}, uint64(seed)) })
	}
}

// buildProduction builds the revision that the deploy file names as running in production, from its sources in dir.
func buildProduction(t *testing.T, dir, binary string) {
	t.Helper()
	deploy, err := os.ReadFile("../deploy/system.toml")
	if err != nil {
		t.Fatal(err)
	}
	var doc struct {
		Production string `toml:"production"`
	}
	if _, err := toml.Decode(string(deploy), &doc); err != nil || doc.Production == "" {
		t.Fatalf("deploy/system.toml names no production revision: %v", err)
	}
	if exec.Command("git", "cat-file", "-e", doc.Production+"^{commit}").Run() != nil {
		t.Skipf("the history has no revision %s; clone it whole", doc.Production)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	archive := fmt.Sprintf("git -C .. archive %s | tar -x -C %s", doc.Production, dir)
	if out, err := exec.Command("bash", "-o", "pipefail", "-c", archive).CombinedOutput(); err != nil {
		t.Fatalf("read revision %s: %v\n%s", doc.Production, err, out)
	}
	build := exec.Command("go", "build", "-o", binary, "./cmd/ibisentry")
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build revision %s: %v\n%s", doc.Production, err, out)
	}
}

func buildIbisentry(t *testing.T, binary string) {
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/ibisentry").CombinedOutput(); err != nil {
		t.Fatalf("build ibisentry: %v\n%s", err, out)
	}
}

func soakNumber(env string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(env)); err == nil {
		return n
	}
	return fallback
}

// faultProxy passes a VM's connections to the store on, as its mode says.
type faultProxy struct {
	net.Listener
	store string
	mode  atomic.Value // a proxyMode
}

type proxyMode string

const (
	proxyPasses  proxyMode = "passes"
	proxyDelays  proxyMode = "delays"
	proxyResets  proxyMode = "resets"
	proxySilent  proxyMode = "silent"
	proxyOneWay  proxyMode = "one way" // calls arrive, answers do not
	proxyLatency           = 120 * time.Millisecond
)

func newFaultProxy(t *testing.T, store string) *faultProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &faultProxy{Listener: l, store: store}
	p.mode.Store(proxyPasses)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			up, err := net.Dial("tcp", store)
			if err != nil {
				c.Close()
				continue
			}
			go p.copy(up, c, false)
			go p.copy(c, up, true)
		}
	}()
	return p
}

// copy passes bytes on until a connection ends. Bytes that meet a silence are lost with their connection, as behind a partition.
func (p *faultProxy) copy(to, from net.Conn, answers bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 64<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		switch p.mode.Load().(proxyMode) {
		case proxyDelays:
			time.Sleep(proxyLatency)
		case proxyResets:
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // a reset is what is wanted
			}
			return
		case proxySilent:
			lost = true
		case proxyOneWay:
			lost = lost || answers
		}
		if lost {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// soakVM is one ibisentry process and its way to the store.
type soakVM struct {
	*vm
	ip, settings, log string
	proxy             *faultProxy
	mu                sync.Mutex
	cmd               *exec.Cmd
	starts            int
}

// processSoak is a run of the soak.
type processSoak struct {
	*deployment
	// binaries are the builds that a VM runs in turn, from one start to the next.
	binaries []string
	nodes    []*soakVM
	network  int32 // the third byte of the VMs' addresses
	dir      string
	start    time.Time
	events   *json.Encoder
	mu       sync.Mutex
	// attempts are the callers' attempts by ID.
	attempts map[string]soakAttempt
	ids      atomic.Int64
	served   atomic.Int64
	batches  atomic.Int64
	// spares are the engines to which the route of the first trainer's batches moves. There are none while builds without epochs run.
	spares []*errata.Target
	// tables guards the configuration: addedRoute is JSON of the route that a fault has added, movedRoute of that to the spares, or "".
	tables                 sync.Mutex
	addedRoute, movedRoute string
	// openRoutes is JSON of the routes on openPath, dropped are the engines of droppedService.
	openRoutes string
	dropped    []*errata.Target
}

// soakAttempt is an attempt of a caller and its outcome.
type soakAttempt struct {
	keepsOnce bool // the request may run once at most
	status    int  // 0 without an answer
}

// recordEvents creates the file of the run's events in its directory.
func (s *processSoak) recordEvents() {
	f, err := os.Create(filepath.Join(s.dir, "events.jsonl"))
	s.is.NoErr(err)
	s.t.Cleanup(func() { f.Close() })
	s.events = json.NewEncoder(f)
}

// note writes an event of the run.
func (s *processSoak) note(kind string, fields map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fields["at_ms"], fields["event"] = time.Since(s.start).Milliseconds(), kind
	if err := s.events.Encode(fields); err != nil {
		s.t.Error(err)
	}
}

func runProcessSoak(t *testing.T, binaries []string, seed uint64) {
	s := &processSoak{deployment: newSoakDeployment(t), binaries: binaries, start: time.Now(), attempts: map[string]soakAttempt{}, dir: os.Getenv(soakDirEnv)}
	if s.dir == "" {
		s.dir = t.TempDir()
	}
	s.dir = filepath.Join(s.dir, fmt.Sprintf("seed-%d", seed))
	s.is.NoErr(os.MkdirAll(s.dir, 0o755))
	s.recordEvents()
	if len(binaries) == 1 {
		s.startSpares(2)
	}
	for i := range soakVMs {
		s.nodes = append(s.nodes, s.newNode(i))
	}
	for _, n := range s.nodes {
		s.launch(n)
	}
	for _, n := range s.nodes {
		s.eventually(10*time.Second, n.name+" is ready", func() bool { return s.ready(n) })
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for c := range 4 {
		callers.Go(func() { s.callPlain(rand.New(rand.NewPCG(seed, uint64(100+c))), c%2 == 1, stop) })
	}
	for c := range 2 {
		path := []string{movedPath, "/notes/"}[c]
		callers.Go(func() { s.train(rand.New(rand.NewPCG(seed, uint64(200+c))), fmt.Sprintf("t%d", c), path, stop) })
	}
	callers.Go(func() { s.callPoison(rand.New(rand.NewPCG(seed, 300)), stop) })
	faultsOver := make(chan struct{})
	if len(s.spares) > 0 {
		callers.Go(func() { s.moveRoute(rand.New(rand.NewPCG(seed, 2)), faultsOver) })
		callers.Go(func() { s.changeOpenRoutes(rand.New(rand.NewPCG(seed, 3)), faultsOver) })
	}
	s.injectFaults(rand.New(rand.NewPCG(seed, 1)))
	close(faultsOver)
	// Limits are judged while no VM is disturbed, which would excuse it.
	limited := time.Now()
	nameLimits(s.services, soakLimit)
	time.Sleep(soakSettle)
	for _, x := range s.services {
		checkLimit(t, x, soakLimit, limited, time.Now(), 0)
	}
	nameLimits(s.services, 0) // the last batches end soon
	close(stop)
	callers.Wait()
	s.judge()
	t.Logf("seed %d: %d plain answers, %d batches, %d attempts; events and logs in %s", seed, s.served.Load(), s.batches.Load(), len(s.attempts), s.dir)
}

// newSoakDeployment returns a deployment without VMs whose items take about a second.
func newSoakDeployment(t *testing.T) *deployment {
	d := newDeployment(t, soakEngines, soakServices, 0)
	for _, e := range d.engines {
		e.Set(func(e *errata.Target) {
			e.EventsPerStream, e.EventInterval, e.TagEvents = 30, 25*time.Millisecond, true
		})
	}
	for _, x := range d.services {
		x.Set(func(x *errata.Target) { x.RequestDuration, x.CrashOn = 15*time.Millisecond, poison })
	}
	return d
}

// soakNetworks counts the runs of this process that have VMs.
var soakNetworks atomic.Int32

// newNode writes the settings of a VM. Each has a loopback address of its own, as machines have, also among the VMs of runs that go on at once:
// a port that is free now is free when the VM starts.
func (s *processSoak) newNode(i int) *soakVM {
	if s.network == 0 {
		s.network = 1 + soakNetworks.Add(1)%250
	}
	ip := fmt.Sprintf("127.0.%d.%d", s.network, 10+i)
	port := func() int {
		l, err := net.Listen("tcp", ip+":0")
		s.is.NoErr(err)
		defer l.Close()
		return l.Addr().(*net.TCPAddr).Port
	}
	name, internal := fmt.Sprintf("vm-%d", i), port()
	n := &soakVM{ip: ip, starts: i, proxy: newFaultProxy(s.t, s.store.Address()), log: filepath.Join(s.dir, name+".log"), settings: filepath.Join(s.dir, name+".toml")}
	n.vm = &vm{name: name, address: fmt.Sprintf("%s:%d", ip, port()), readyAddress: fmt.Sprintf("%s:%d", ip, port())}
	text := fmt.Sprintf(`NodeName = %q
Zone = %q
Ip = %q
InternalPorts = [%d, %d]
[Listen]
FrontendAddr = %q
ReadyAddr = %q
[Limits]
Cores = 1
CpuShare = 0.8
MemoryMb = 324
[Bounds]
GraceS = 4
LeaseMs = 1000
StatusS = 60
[Platform]
Address = %q
parts = 4
RecordBytes = 262144
CallBytes = 2097152
`, name, []string{"a", "b", "c"}[i%3], ip, internal, internal+1, n.address, n.readyAddress, n.proxy.Addr().String())
	s.is.NoErr(os.WriteFile(n.settings, []byte(text), 0o644))
	s.t.Cleanup(func() { s.signal(n, syscall.SIGKILL) })
	return n
}

// launch starts the process of a VM.
func (s *processSoak) launch(n *soakVM) {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		s.t.Error(err)
		return
	}
	n.mu.Lock()
	binary := s.binaries[n.starts%len(s.binaries)]
	n.starts++
	n.mu.Unlock()
	s.note("start", map[string]any{"vm": n.name, "build": filepath.Base(binary)})
	cmd := exec.Command(binary, "run")
	cmd.Env = append(os.Environ(), "IBISTRAIL_BOOT="+n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		s.t.Error(err)
		return
	}
	n.mu.Lock()
	n.cmd = cmd
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait() // an exit by a signal is expected
		log.Close()
	}()
}

// signal sends a signal to the process of a VM, by the ID that the soak started it under.
func (s *processSoak) signal(n *soakVM, sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(sig) // it may have ended already
	}
}

func (s *processSoak) ready(n *soakVM) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.readyAddress + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// injectFaults strikes in series and overlaps for soakDuration, and then heals everything. The plan follows from rng alone.
func (s *processSoak) injectFaults(rng *rand.Rand) {
	var healing sync.WaitGroup
	busy := make([]time.Time, len(s.nodes)) // until when a VM's process is down
	version := 2
	for end := time.Now().Add(soakDuration); time.Now().Before(end); {
		i, lasts := rng.IntN(len(s.nodes)), time.Duration(300+rng.IntN(2200))*time.Millisecond
		kind := []string{"kill", "pause", "stop", "store", "store", "store for all", "target crash", "answers lost", "streams reset", "tables", "version", "limit", "upgrade"}[rng.IntN(13)]
		mode := []proxyMode{proxyDelays, proxyResets, proxySilent, proxyOneWay}[rng.IntN(4)]
		n, x, e := s.nodes[i], s.services[rng.IntN(len(s.services))], s.engines[rng.IntN(len(s.engines))]
		s.note("fault", map[string]any{"kind": kind, "vm": n.name, "mode": mode, "ms": lasts.Milliseconds()})
		heal := func(f func()) {
			healing.Go(func() {
				time.Sleep(lasts)
				f()
			})
		}
		switch kind {
		case "kill", "pause", "stop":
			if time.Now().Before(busy[i]) {
				break
			}
			busy[i] = time.Now().Add(lasts + 5*time.Second) // a planned stop takes up to 4 s
			switch kind {
			case "kill":
				s.signal(n, syscall.SIGKILL)
				heal(func() { s.launch(n) })
			case "pause":
				s.signal(n, syscall.SIGSTOP)
				heal(func() { s.signal(n, syscall.SIGCONT) })
			case "stop":
				s.signal(n, syscall.SIGTERM)
				lasts += 4500 * time.Millisecond
				heal(func() {
					s.signal(n, syscall.SIGKILL)
					s.launch(n)
				})
			}
		case "store":
			n.proxy.mode.Store(mode)
			heal(func() { n.proxy.mode.Store(proxyPasses) })
		case "store for all":
			for _, n := range s.nodes {
				n.proxy.mode.Store(mode)
			}
			heal(func() {
				for _, n := range s.nodes {
					n.proxy.mode.Store(proxyPasses)
				}
			})
		case "target crash":
			x.Crash()
			e.Crash()
		case "answers lost":
			x.Set(func(x *errata.Target) { x.LoseAnswers = 5 })
		case "streams reset":
			e.Set(func(e *errata.Target) { e.ResetStreamAfter = 12 })
			heal(func() { e.Set(func(e *errata.Target) { e.ResetStreamAfter = 0 }) })
		case "limit":
			limited := []*errata.Target{x, e}
			nameLimits(limited, 0.5+5*rng.Float64())
			heal(func() { nameLimits(limited, 0) })
		case "upgrade":
			e.Upgrade(fmt.Sprintf("v%d", 1+rng.IntN(3)))
		case "tables":
			s.reconfigure(func() {
				s.addedRoute = fmt.Sprintf(`,{"Name":"r-%d","Host":%q,"PathPrefix":"/new%d/","Kind":"idempotent","TimeoutMs":1500,"TargetLatencyMs":150,"Service":"desk","MaxAttempts":2}`, s.version, host, s.version)
			})
		case "version":
			s.nameVersion(version)
			version++
		}
		time.Sleep(time.Duration(100+rng.IntN(700)) * time.Millisecond)
	}
	healing.Wait()
	for _, n := range s.nodes {
		s.eventually(15*time.Second, n.name+" is ready again", func() bool { return s.ready(n) })
	}
	s.note("healed", map[string]any{})
}

// startSpares starts n engines of the spare service and adds it to the configuration.
func (s *processSoak) startSpares(n int) {
	for i := range n {
		e := s.startTarget(fmt.Sprintf("spare-%d", i), spareService, 4, model)
		e.Set(func(e *errata.Target) {
			e.EventsPerStream, e.EventInterval, e.TagEvents = 30, 25*time.Millisecond, true
		})
		s.spares = append(s.spares, e)
	}
	s.reconfigure(func() { s.moreServices = spareServiceRow() })
}

// reconfigure changes the configuration.
func (s *processSoak) reconfigure(change func()) {
	s.tables.Lock()
	defer s.tables.Unlock()
	change()
	s.configure(s.addedRoute + s.movedRoute + s.openRoutes)
}

// moveRoute moves the route of the first trainer's batches to the spares and back, at drawn times, until faultsOver is closed.
func (s *processSoak) moveRoute(rng *rand.Rand, faultsOver <-chan struct{}) {
	for {
		select {
		case <-faultsOver:
			return
		case <-time.After(time.Duration(200+rng.IntN(2300)) * time.Millisecond):
		}
		s.reconfigure(func() {
			if s.movedRoute == "" {
				s.movedRoute = movedRouteRow()
			} else {
				s.movedRoute = ""
			}
		})
		s.note("move", map[string]any{"to_spares": s.movedRoute != ""})
	}
}

func (s *processSoak) anyNode(rng *rand.Rand) *vm { return s.nodes[rng.IntN(len(s.nodes))].vm }

// callPlain sends plain requests, each again under another ID if it was refused or, where it may be repeated, not answered.
func (s *processSoak) callPlain(rng *rand.Rand, once bool, stop <-chan struct{}) {
	path, kind := "/desk/x", "p"
	if once {
		path, kind = "/file/x", "n"
	}
	for {
		for range 2 {
			select {
			case <-stop:
				return
			case <-time.After(15 * time.Millisecond):
			}
			id := fmt.Sprintf("%s%d", kind, s.ids.Add(1))
			a := s.call(s.anyNode(rng), http.MethodPost, path, id, "body of "+id)
			s.mu.Lock()
			s.attempts[id] = soakAttempt{once, a.status}
			s.mu.Unlock()
			if a.err == nil && a.status == http.StatusOK {
				s.served.Add(1)
				if !strings.HasPrefix(a.body, "answer to "+id+" by ") {
					s.t.Errorf("%s got the answer %.60q", id, a.body)
				}
				break
			}
			refused := a.err == nil && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests)
			if once && !refused {
				break
			}
		}
	}
}

// callPoison sends a request that crashes each target that runs it, again and again under other IDs.
func (s *processSoak) callPoison(rng *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(400 * time.Millisecond):
		}
		id := fmt.Sprintf("x%d", s.ids.Add(1))
		a := s.call(s.anyNode(rng), http.MethodPost, "/desk/poison", id, poison)
		s.mu.Lock()
		s.attempts[id] = soakAttempt{false, a.status}
		s.mu.Unlock()
	}
}

// train submits batches, reads them at any VM until all items are listed, and ends them.
func (s *processSoak) train(rng *rand.Rand, name, path string, stop <-chan struct{}) {
	for step := 0; ; step++ {
		select {
		case <-stop:
			return
		default:
		}
		batch := fmt.Sprintf("%s-b%d", name, step)
		var items []string
		for i := range 8 {
			items = append(items, fmt.Sprintf("%s-i%d", batch, i))
		}
		body := submission(step, 0, items...)
		submit := func() bool {
			return s.call(s.anyNode(rng), http.MethodPost, path+batch, batch, body).status == http.StatusAccepted
		}
		s.untilDone(batch+" is accepted", submit)
		submit() // other clients send it again
		s.readBatch(rng, batch, items)
		s.batches.Add(1)
	}
}

// readBatch reads a batch at any VM until all items are listed, reads it again, and ends it.
func (s *processSoak) readBatch(rng *rand.Rand, batch string, items []string) {
	var all []result
	s.untilDone(batch+" is whole", func() bool {
		p, status := s.readPage(s.anyNode(rng), batch, len(all))
		if status == http.StatusNotFound {
			s.t.Errorf("%s was accepted, and a VM answers 404", batch)
		}
		all = append(all, p.Results...)
		return len(all) >= len(items)
	})
	for i, r := range all {
		text, software := errata.SplitTags(r.Text)
		if len(software) > 1 {
			s.t.Errorf("%s has events of software versions %v", r.Id, software)
		}
		all[i].Text = text
	}
	s.checkResults(all, 30, items...)
	s.untilDone(batch+" is read again", func() bool {
		p, status := s.readPage(s.anyNode(rng), batch, 0)
		if status != http.StatusOK || len(p.Results) == 0 {
			return false
		}
		for i, r := range p.Results {
			r.Text, _ = errata.SplitTags(r.Text)
			if !slices.Equal(r.Versions, all[i].Versions) || r.Id != all[i].Id || r.Text != all[i].Text {
				s.t.Errorf("position %d of %s holds %s and then %s, or another text", i, batch, all[i].Id, r.Id)
			}
		}
		return true
	})
	s.untilDone(batch+" is ended", func() bool {
		return s.call(s.anyNode(rng), http.MethodDelete, "/v1/lots/"+batch, "", "").status == http.StatusOK
	})
}

// untilDone repeats a call until it succeeds, as trainers do.
func (s *processSoak) untilDone(what string, done func() bool) {
	for deadline := time.Now().Add(soakBatchTime); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Errorf("not within %s: %s", soakBatchTime, what)
			return
		}
	}
}

// judge checks what targets saw against what callers were told.
func (s *processSoak) judge() {
	runs := map[string][]errata.ExecutedRequest{}
	for _, x := range slices.Concat(s.services, s.engines, s.spares, s.dropped) {
		for _, r := range x.ExecutedRequests() {
			runs[r.ID] = append(runs[r.ID], r)
			if _, plain := s.attempts[r.ID]; x.Service == "desk" && !plain && !strings.HasPrefix(r.ID, "score-") {
				s.t.Errorf("ROUTE: %s ran item %s", x.ID, r.ID)
			}
			if want := strings.TrimPrefix(r.ID, "score-"); !strings.HasSuffix(string(r.Body), want) && string(r.Body) != poison {
				s.t.Errorf("%s ran with the body %.60q", r.ID, r.Body)
			}
		}
	}
	overAttempts, overBudget := []string{}, []string{}
	const maxAttempts = 2 // of the routes of plain requests
	for id, a := range s.attempts {
		switch n := len(runs[id]); {
		case a.keepsOnce && n > 1:
			s.t.Errorf("%s may run once and ran %d times", id, n)
		case n > maxAttempts:
			overAttempts = append(overAttempts, fmt.Sprintf("%s: %d runs", id, n))
		}
		if (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) && len(runs[id]) > 0 {
			s.t.Errorf("%s was refused with status %d and ran", id, a.status)
		}
	}
	for id, rs := range runs {
		if _, plain := s.attempts[id]; !plain && !strings.HasPrefix(id, "score-") {
			continue // items have no deadline
		}
		slices.SortFunc(rs, func(a, b errata.ExecutedRequest) int { return a.At.Compare(b.At) })
		firstEnd := time.Time{}
		for i, r := range rs {
			ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
			budget := time.Duration(ms) * time.Millisecond
			if i == 0 {
				firstEnd = r.At.Add(budget)
			}
			tooMuch := strings.HasPrefix(id, "score-") || budget <= soakBudget+budgetSlack
			if err != nil || !tooMuch || r.At.Sub(rs[0].At) > budgetSlack && r.At.Add(budget).After(firstEnd.Add(budgetSlack)) {
				overBudget = append(overBudget, fmt.Sprintf("%s: run %d has %s", id, i+1, budget))
			}
		}
	}
	late := s.latePoisonRuns(runs)
	if late > maxBudgetCases {
		s.t.Errorf("BUDGET: a request reached targets %d times more, later than %s after it had crashed the third", late, stableTime)
	}
	if len(overAttempts) > maxBudgetCases {
		s.t.Errorf("BUDGET: %d requests ran more often than their route allows: %v", len(overAttempts), overAttempts)
	}
	if len(overBudget) > maxBudgetCases {
		s.t.Errorf("BUDGET: %d runs were handed too much time: %v", len(overBudget), overBudget)
	}
	s.note("judged", map[string]any{"late_poison_runs": late, "over_attempts": overAttempts, "over_budget": overBudget, "plain": s.served.Load(), "batches": s.batches.Load()})
	s.is.True(s.served.Load() > 0 && s.batches.Load() > 0) // callers were served
}

// latePoisonRuns returns how often the crashing request reached targets later than stableTime after it had crashed the third.
func (s *processSoak) latePoisonRuns(runs map[string][]errata.ExecutedRequest) int {
	var at []time.Time
	for id, rs := range runs {
		for _, r := range rs {
			if strings.HasPrefix(id, "x") {
				at = append(at, r.At)
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	late := 0
	for _, t := range at {
		if len(at) > 2 && t.Sub(at[2]) > stableTime {
			late++
		}
	}
	return late
}
