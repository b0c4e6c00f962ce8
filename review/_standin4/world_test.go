// Package standin4 plays the scripted cases of the third review. It serves a small deployment's store and servers, runs the project's own
// program as separate processes before them, and judges what clients and servers saw.
package standin4

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/fake/errata"
)

// The names of the deployment.
const (
	host       = "ficu95.example"
	modelName  = "daka510000"
	batchRoute = "/pule252/"
	scoreRoute = "/pufi791/"
	engineName = "menu-drafter"
	secondName = "menu-drafter-b"
	deskName   = "order-desk"
)

const (
	// parts is the number of partitions of a topic.
	parts = 12
	// beat is the time between two registrations of a server.
	beat = 1200 * time.Millisecond
	// callTimeout is how long a client waits for an answer.
	callTimeout = 4 * time.Second
	// settleTime is the time from the start of the machines to the first request; machines are in touch by then.
	settleTime = 4 * time.Second
)

// scores is the route of the reward calls.
var scores = fmt.Sprintf(`{"Name":"r-stock","Host":%q,"PathPrefix":%q,"Kind":"idempotent","TimeoutMs":3000,"TargetLatencyMs":800,"Priority":2,"Service":%q,"MaxAttempts":4}`,
	host, scoreRoute, deskName)

// batchesTo is the route of the batches.
func batchesTo(service string) string {
	return fmt.Sprintf(`{"Name":"r-menu","Host":%q,"PathPrefix":%q,"Kind":"rollout","TimeoutMs":10000,"TargetLatencyMs":400,"RunDeadlineMs":7500,"RetentionS":40,"Priority":1,"Service":%q,"MaxAttempts":3}`,
		host, batchRoute, service)
}

// errUnplayed is the error of a case that could not run.
var errUnplayed = errors.New("the case could not run")

// world is one small deployment.
type world struct {
	dir     string
	store   *errata.Store
	nodes   []*node
	start   time.Time
	version int
	// promptBytes is the size of items' bodies.
	promptBytes int
	calls       http.Client

	mu     sync.Mutex
	record *os.File
}

// node is one machine of the system.
type node struct {
	w                            *world
	name, ip                     string
	front, ready, settings, logs string
	cmd                          *exec.Cmd
}

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "standin4-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: errata.NewStore(parts), start: time.Now(), record: record}
	w.calls.Transport, w.calls.Timeout = &http.Transport{DisableKeepAlives: true, DisableCompression: true}, callTimeout
	return w, nil
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	nodes := w.nodes
	w.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	w.store.Close()
	w.record.Close()
	os.RemoveAll(w.dir)
}

// note writes a line to the record, with the time in seconds.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// configure writes the next configuration, with routes and the services that they name.
func (w *world) configure(names []string, routes ...string) {
	w.version += 3
	var services []string
	for _, name := range names {
		row := fmt.Sprintf(`{"Name":%q,"HealthPath":"/healthz","MaxConns":100}`, name)
		if name != deskName {
			row = fmt.Sprintf(`{"Name":%q,"HealthPath":"/healthz","MaxConns":140,"Engine":{"Slots":%d,"Stride":57,"KvCapacity":%d,"Models":[{"Name":%q}]}}`, name, engineSlots, kvTotal, modelName)
		}
		services = append(services, row)
	}
	text := fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[%s],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":33554432,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`,
		w.version, strings.Join(routes, ","), strings.Join(services, ","))
	w.store.Put("keyed.op", "config", []byte(text))
	w.note("operator: configuration is confirmed: %s", text)
}

// port returns a free port of an address.
func port(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// startNodes starts the machines of the system and waits until they are ready and in touch.
func (w *world) startNodes(count int) error {
	for i := range count {
		if err := w.addNode(i+1, zones[i%len(zones)]); err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// addNode writes the settings of a machine and starts its process.
func (w *world) addNode(number int, zone string) error {
	n := &node{w: w, name: fmt.Sprintf("client_facing-%s-%d", zone, number), ip: fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()%100, os.Getpid()/100%250, number)}
	var ports [3]int
	for k := range ports {
		p, err := port(n.ip)
		if err != nil {
			return err
		}
		ports[k] = p
	}
	n.front, n.ready = fmt.Sprintf("%s:%d", n.ip, ports[0]), fmt.Sprintf("%s:%d", n.ip, ports[1])
	n.settings, n.logs = filepath.Join(w.dir, n.name+".toml"), filepath.Join(w.dir, n.name+".log")
	text := fmt.Sprintf(`NodeName = %q
Role = "entry"
MachineClass = "client_facing"
Serves = ["client_facing"]
Ip = %q
Zone = %q
Region = "central-coast"
InternalPorts = [%d,%d]
Bootstrap = true
Discovery = "platform"
HeartbeatMs = 1200
[Listen]
FrontendAddr = %q
ReadyAddr = %q
[Limits]
CpuShare = 0.8
Cores = 1
MemoryMb = 324
MaxFds = 8200
[Bounds]
StableMs = 3000
GraceS = 8
LeaseMs = 3000
StatusS = 120
[Platform]
Address = %q
form = "log"
parts = %d
RecordBytes = 262144
CallBytes = 2097152
RetentionS = 300
PartMb = 200
`, n.name, n.ip, zone, ports[2], ports[2]+15, n.front, n.ready, w.store.Address(), parts)
	if err := os.WriteFile(n.settings, []byte(text), 0o644); err != nil {
		return err
	}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	return n.launch()
}

// launch starts the process of a machine with the command of the deploy file.
func (n *node) launch() error {
	log, err := os.OpenFile(n.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command("target/ibisentry", "run")
	n.cmd.Env = append(os.Environ(), "IBISTRAIL_BOOT="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return fmt.Errorf("%w: %v", errUnplayed, err)
	}
	n.w.note("%s: process started", n.name)
	return nil
}

// kill ends the process of a machine, if it runs.
func (n *node) kill() {
	if n.cmd != nil && n.cmd.Process != nil && n.cmd.ProcessState == nil {
		_ = n.cmd.Process.Kill() // fails only if it has ended
		_ = n.cmd.Wait()
	}
}

// awaitReady waits until all machines are ready.
func (w *world) awaitReady() error {
	for _, n := range w.nodes {
		if !within(15*time.Second, func() bool {
			resp, err := w.calls.Get("http://" + n.ready + "/v1/ready")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}) {
			return fmt.Errorf("%w: %s is not ready", errUnplayed, n.name)
		}
	}
	w.note("all machines are ready")
	return nil
}

// within reports whether a condition becomes true in a time.
func within(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
