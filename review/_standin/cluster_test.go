// Package standin plays one case of the review: it starts the stand-ins of the platform, of samplers and of clients in this process and
// the VMs as processes of the deploy file's command, and judges what clients, samplers and the platform have seen.
package standin

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host  = "ficu95.example"
	model = "daka510000"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		cleanUp()
		os.Exit(exitNoRun)
	}
}

// cleanUp ends all processes that the case started.
func cleanUp() {
	if theCluster != nil {
		theCluster.stop()
	}
}

var theCluster *cluster

// cluster is a small deployment.
type cluster struct {
	store    *store
	samplers []*sampler
	vms      []*vm
	dir      string // temporary, for settings and logs
	trouble  bool
	start    time.Time

	mu       sync.Mutex
	record   *os.File
	runs     []run
	over     bool
	names    map[string]int64 // named versions by model
	version  int              // of the configuration
	verdicts []string
}

func newCluster(recordPath string) *cluster {
	f, err := os.Create(recordPath)
	check(err)
	dir, err := os.MkdirTemp("", "review")
	check(err)
	c := &cluster{dir: dir, record: f, start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", names: map[string]int64{}}
	theCluster = c
	c.store = startStore("127.0.0.2")
	c.note("begins, trouble %v", c.trouble)
	return c
}

// note writes a line of the record.
func (c *cluster) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that a rule was broken.
func (c *cluster) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.note("BROKEN %s", text)
	c.mu.Lock()
	c.verdicts = append(c.verdicts, text)
	c.mu.Unlock()
}

func (c *cluster) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.over
}

// ran records a run at a sampler.
func (c *cluster) ran(r run) {
	c.mu.Lock()
	c.runs = append(c.runs, r)
	c.mu.Unlock()
	c.note("run of %s at %s: from event %d, %d events, versions %v, %d ms, complete %v, 422 %v, crash %v", r.ID, r.Sampler, r.From, r.Events, spans(r.Versions), r.Ended.Sub(r.Started).Milliseconds(), r.Complete, r.Impossible, r.Crashed)
}

// allRuns returns the runs that have ended.
func (c *cluster) allRuns() []run {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]run(nil), c.runs...)
}

// spans returns the distinct neighbours of versions.
func spans(versions []int64) []int64 {
	var out []int64
	for _, v := range versions {
		if len(out) == 0 || out[len(out)-1] != v {
			out = append(out, v)
		}
	}
	return out
}

// named returns the newest version of a model that was named; samplers start at 1.
func (c *cluster) named(m string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(1, c.names[m])
}

// name names a version, as a trainer does.
func (c *cluster) name(m string, version int64) {
	c.mu.Lock()
	c.names[m] = version
	c.mu.Unlock()
	c.store.put("keyed.op", "version/"+m, map[string]any{"Model": m, "Version": version})
	c.note("version %d of %s is named", version, m)
}

// configure writes a configuration, as the operator does. The store's answer is the confirmation.
func (c *cluster) configure(routes, services []map[string]any) {
	c.version += 3
	c.store.put("keyed.op", "config", map[string]any{
		"Version": c.version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	c.note("configuration %d is confirmed", c.version)
}

// engineService returns a service of model samplers.
func engineService(name string, slots int) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConns": 140, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
		"Slots": slots, "KvCapacity": 85422, "KvTokenBytes": 163840, "LinkMbps": 8800000.0, "Moves": true, "Backups": true, "Stride": 72, "most": 12,
		"PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": []map[string]any{{"Name": model}},
	}}
}

func plainService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false}
}

// vm is a machine of the system and its process.
type vm struct {
	c                        *cluster
	name, ip, front, readyAt string
	settings                 string
	mu                       sync.Mutex
	cmd                      *exec.Cmd
	done                     chan struct{}
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// startVMs starts n machines in three zones and waits until they are ready.
func (c *cluster) startVMs(n int) {
	for i := range n {
		ip, zone := fmt.Sprintf("127.0.0.%d", 21+i), string(rune('a'+i%3))
		v := &vm{c: c, name: fmt.Sprintf("client_facing-zone-%s-%d", zone, 1+i/3), ip: ip}
		v.front, v.readyAt = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
		v.settings = filepath.Join(c.dir, v.name+".toml")
		internal := freePort(ip)
		check(os.WriteFile(v.settings, []byte(fmt.Sprintf(`NodeName = %q
Role = "entry"
MachineClass = "client_facing"
Serves = ["client_facing"]
Ip = %q
Zone = "zone-%s"
Region = "region"
InternalPorts = [%d, %d]
Seeds = []
Bootstrap = true
CountsAsLoss = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch","platform"]
[Zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[Listen]
FrontendAddr = %q
ReadyAddr = %q
[Limits]
CpuShare = 0.8
Cores = 1
MemoryMb = 324
MaxFds = 8200
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
StableMs = 3000
AckMs = 4000
CatchUpS = 4.8
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RevertSlackMs = 250
MaxStretchMs = 5000
RecoveryS = 12
PassMs = 120
RetryAfterS = 0
FinishS = 10
StatusS = 120
CancelMs = 3000
SettleMs = 1000
QuotaOverage = 0.1
FenceChecked = false
LeaseMs = 3000
ThawSlackMs = 300
[Platform]
Address = %q
form = "log"
WritesPerS = 800
ReadsPerS = 2000
parts = %d
AppendMs = 2.0
PartMbS = 20.0
ReadMbS = 80.0
RecordBytes = %d
CallBytes = %d
RetentionS = 300
PartMb = 200
MinTtlMs = 1000
`, v.name, ip, zone, internal, internal+15, v.front, v.readyAt, c.store.addr, storeParts, storeRecordBytes, storeCallBytes)), 0o644))
		c.vms = append(c.vms, v)
		v.launch()
	}
	for _, v := range c.vms {
		v.awaitReady()
	}
	c.note("all VMs are ready")
}

// launch starts the process with the command of the deploy file.
func (v *vm) launch() {
	words := strings.Fields(runCommand())
	log, err := os.OpenFile(filepath.Join(v.c.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"IBISTRAIL_BOOT=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	done := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.done = cmd, done
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait() // signals end processes
		v.c.note("process of %s has ended", v.name)
		log.Close()
		close(done)
	}()
}

// runCommand returns the command of the role in the deploy file.
func runCommand() string {
	data, err := os.ReadFile("deploy/system.toml")
	check(err)
	for _, line := range strings.Split(string(data), "\n") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Trim(text, `"`)
		}
	}
	check(fmt.Errorf("the deploy file has no command"))
	return ""
}

func (v *vm) awaitReady() {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + v.readyAt + "/v1/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			check(fmt.Errorf("%s is not ready", v.name))
		}
	}
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.c.note("signal %v to %s", s, v.name)
	_ = v.cmd.Process.Signal(s)
}

// logHas reports whether the VM's log has a line with all texts. It only guides the play: nothing is judged by it.
func (v *vm) logHas(texts ...string) bool {
	data, err := os.ReadFile(filepath.Join(v.c.dir, v.name+".log"))
	check(err)
lines:
	for _, line := range strings.Split(string(data), "\n") {
		for _, t := range texts {
			if !strings.Contains(line, t) {
				continue lines
			}
		}
		return true
	}
	return false
}

// stop ends all processes and removes the temporary folder.
func (c *cluster) stop() {
	c.mu.Lock()
	c.over = true
	c.mu.Unlock()
	for _, v := range c.vms {
		v.mu.Lock()
		cmd, done := v.cmd, v.done
		v.mu.Unlock()
		if cmd != nil && cmd.Process != nil {
			_ = cmd.Process.Signal(syscall.SIGKILL)
			<-done
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept", c.dir)
	}
}

// finish ends the case with its verdict.
func (c *cluster) finish() {
	c.stop()
	for _, v := range c.verdicts {
		fmt.Println("broken:", v)
	}
	c.note("ends, %d breaks", len(c.verdicts))
	if len(c.verdicts) > 0 {
		os.Exit(exitBroken)
	}
	fmt.Println("held")
	os.Exit(exitHeld)
}

// answer is what a client saw of a call.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	at     time.Time
}

// call makes one call on a new channel.
func (c *cluster) call(v *vm, method, path string, header map[string]string, body []byte, timeout time.Duration) answer {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+v.front+path, bytes.NewReader(body))
	check(err)
	req.Host = host
	for k, x := range header {
		req.Header.Set(k, x)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, data, err, time.Now()}
}

// item is an item of a batch submission.
type item struct {
	Id, Path string
	Headers  map[string]string
	Body     string
	Tokens   int
	Group    string
	Scorer   map[string]any `json:",omitempty"`
}

// submission is a batch submission of a trainer.
type submission struct {
	id, path string
	body     []byte
	items    []item
}

// newSubmission returns a submission to the route with a path prefix. hint is the number of output tokens that the client expects.
func newSubmission(id, prefix, scorerPrefix string, step, minVersion int64, groups, size, tokensOut int) *submission {
	s := &submission{id: id, path: prefix + id}
	for g := range groups {
		for i := range size {
			it := item{
				Id: fmt.Sprintf("%s%02x%02x", id, g, i), Path: fmt.Sprintf("%s%d/%d", prefix, g, i), Tokens: 271 + tokensOut, Group: fmt.Sprintf("g%s%02d", id, g),
				Headers: map[string]string{"Model": model, "Token-Count": fmt.Sprintf("271,%d", tokensOut), "Prompt-Prefix": fmt.Sprintf("%s%02x:255,%s%02x%02x:16", id, g, id, g, i)},
				Body:    base64.StdEncoding.EncodeToString([]byte(fmt.Sprintf("prompt %d.%d of %s", g, i, id))),
			}
			it.Scorer = map[string]any{"Id": "5c" + it.Id, "Host": host, "Path": scorerPrefix + it.Id, "Body": base64.StdEncoding.EncodeToString([]byte("score " + it.Id))}
			s.items = append(s.items, it)
		}
	}
	s.encode(step, minVersion, groups)
	return s
}

// encode sets the body of the call.
func (s *submission) encode(step, minVersion int64, groups int) {
	body, err := json.Marshal(map[string]any{"Step": step, "Model": model, "MinVersion": minVersion, "DesiredCount": groups, "Items": s.items})
	check(err)
	s.body = body
}

// submit submits a batch at a VM.
func (c *cluster) submit(v *vm, s *submission) int {
	a := c.call(v, http.MethodPost, s.path, map[string]string{"Request-Id": s.id, "Content-Type": "application/json"}, s.body, 5*time.Second)
	c.note("submission %s at %s: %d %v", s.id, v.name, a.status, a.err)
	return a.status
}

// end ends a batch at a VM.
func (c *cluster) end(v *vm, id string) int {
	a := c.call(v, http.MethodDelete, "/v1/lots/"+id, nil, nil, 5*time.Second)
	c.note("end of %s at %s: %d %v", id, v.name, a.status, a.err)
	return a.status
}

// result is a result as read.
type result struct {
	Id, State, Text string
	Versions        []int64
	Score           string
}

type page struct {
	Total, Next int
	Results     []result
}

// read reads results of a batch at a VM.
func (c *cluster) read(v *vm, id string, after, waitMs int) (int, *page) {
	header := map[string]string{}
	if waitMs > 0 {
		header["Wait-Ms"] = fmt.Sprint(waitMs)
	}
	a := c.call(v, http.MethodGet, fmt.Sprintf("/v1/lots/%s?After=%d", id, after), header, nil, time.Duration(waitMs)*time.Millisecond+1500*time.Millisecond)
	if a.err != nil || a.status != http.StatusOK {
		c.note("read of %s after %d at %s: %d %v", id, after, v.name, a.status, a.err)
		return a.status, nil
	}
	var p page
	if err := json.Unmarshal(a.body, &p); err != nil {
		c.broken("MIXED: %s answers a page that is no JSON: %v", v.name, err)
		return a.status, nil
	}
	ids := []string{}
	for _, r := range p.Results {
		ids = append(ids, fmt.Sprintf("%s %s %v", r.Id, r.State, r.Versions))
	}
	c.note("read of %s after %d at %s: total %d, %d results: %s", id, after, v.name, p.Total, len(p.Results), strings.Join(ids, "; "))
	return a.status, &p
}
