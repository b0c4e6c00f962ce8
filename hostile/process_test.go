package hostile

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/fake/errata"
	"github.com/ibistrail/ibistrail/internal/loopback"
)

// Limits of the process under test. They are its settings and the bounds of the tests.
const (
	// memoryMB is the memory of the smallest VMs.
	memoryMB = 144
	// maxDescriptors is far below that of any VM, so that a small crowd reaches it. reservedDescriptors of them are for files.
	maxDescriptors      = 400
	reservedDescriptors = 200
)

// watchdog ends a test that hangs. No check depends on it otherwise.
const watchdog = 60 * time.Second

// binaryEnv names an ibisentry to test instead of the current sources.
const binaryEnv = "IBISTRAIL_HOSTILE_BINARY"

const host = "desk.example"

// binary is the ibisentry that is tested.
var binary string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		binary = os.Getenv(binaryEnv)
		if binary == "" {
			dir, err := os.MkdirTemp("", "hostile")
			if err != nil {
				fmt.Fprintln(os.Stderr, err)
				return 1
			}
			defer os.RemoveAll(dir)
			binary = filepath.Join(dir, "ibisentry")
			if out, err := exec.Command("go", "build", "-o", binary, "../cmd/ibisentry").CombinedOutput(); err != nil {
				fmt.Fprintf(os.Stderr, "build ibisentry: %v\n%s", err, out)
				return 1
			}
		}
		return m.Run()
	}())
}

// entryVM is a process of ibisentry before a fake store and a plain service of one target.
type entryVM struct {
	t                    *testing.T
	address, ready, path string
	target, engine       *errata.Target
	cmd                  *exec.Cmd
	exited               chan error
	log                  string
	requests             atomic.Int64
	sockets              atomic.Int64 // most sockets and pipes seen
	sampling             sync.WaitGroup
	stop                 chan struct{}
}

// startVM starts a process and waits until it serves requests.
func startVM(t *testing.T) *entryVM {
	t.Helper()
	dir := t.TempDir()
	store := errata.NewStore(1)
	t.Cleanup(store.Close)
	target := errata.NewTarget("desk-0", "desk", "a", 4)
	t.Cleanup(target.Close)
	target.Register(store, "ready")
	engine := errata.NewTarget("engine-0", "drafting", "a", 4, "drafts")
	t.Cleanup(engine.Close)
	engine.Set(func(e *errata.Target) { e.EventsPerStream = eventsPerItem })
	engine.Register(store, "ready")
	answers := startLargeAnswers(t)
	store.Put("keyed.servers", "large-0", fmt.Appendf(nil, `{"Service":"large","Address":%q,"Zone":"a","Version":"v1","Slots":100,"State":"ready","Models":[]}`, answers))
	store.Put("keyed.op", "config", fmt.Appendf(nil, `{"Version":1,"Routes":[
		{"Name":"r-desk","Host":%[1]q,"PathPrefix":"/desk/","Kind":"idempotent","TimeoutMs":3000,"TargetLatencyMs":150,"Priority":2,"Service":"desk","MaxAttempts":2},
		{"Name":"r-large","Host":%[1]q,"PathPrefix":"/large/","Kind":"idempotent","TimeoutMs":3000,"TargetLatencyMs":150,"Priority":2,"Service":"large","MaxAttempts":2},
		{"Name":"r-notes","Host":%[1]q,"PathPrefix":"/notes/","Kind":"rollout","TargetLatencyMs":500,"RunDeadlineMs":7500,"RetentionS":40,"Priority":0,"Service":"drafting","MaxAttempts":3}],
		"Services":[{"Name":"desk","HealthPath":"/healthz","MaxConns":100},{"Name":"large","HealthPath":"/healthz","MaxConns":100},
		{"Name":"drafting","HealthPath":"/healthz","MaxConns":100,"Engine":{"Slots":4,"Stride":10,"Models":[{"Name":"drafts"}]}}],
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":33554432,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, host))
	ip := loopback.Host()
	address := func() string {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		return l.Addr().String()
	}
	v := &entryVM{t: t, address: address(), ready: address(), target: target, engine: engine, path: filepath.Join(dir, "settings.toml"), log: filepath.Join(dir, "log"), exited: make(chan error, 1), stop: make(chan struct{})}
	settings := fmt.Sprintf(`NodeName = "vm-0"
Zone = "a"
Ip = %q
[Listen]
FrontendAddr = %q
ReadyAddr = %q
[Limits]
Cores = 1
CpuShare = 0.8
MemoryMb = %d
MaxFds = %d
[Bounds]
GraceS = 4
LeaseMs = 1000
StatusS = 60
[Platform]
Address = %q
parts = 1
RecordBytes = 262144
CallBytes = 2097152
`, ip, v.address, v.ready, memoryMB, maxDescriptors, store.Address())
	if err := os.WriteFile(v.path, []byte(settings), 0o644); err != nil {
		t.Fatal(err)
	}
	out, err := os.Create(v.log)
	if err != nil {
		t.Fatal(err)
	}
	v.cmd = exec.Command(binary, "run")
	v.cmd.Env = append(os.Environ(), "IBISTRAIL_BOOT="+v.path)
	v.cmd.Stdout, v.cmd.Stderr = out, out
	if err := v.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		v.exited <- v.cmd.Wait()
		out.Close()
	}()
	t.Cleanup(v.end)
	for deadline := time.Now().Add(watchdog); !v.isReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the process is not ready")
		}
	}
	v.sampling.Go(v.sampleSockets)
	return v
}

// startLargeAnswers starts a target that answers each request with largeAnswerBytes, and returns its address.
func startLargeAnswers(t *testing.T) string {
	t.Helper()
	body := bytes.Repeat([]byte("x"), largeAnswerBytes)
	l, err := loopback.ServeConns(func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Length: %d\r\n\r\n", req.Header.Get("Request-Id"), len(body)); err != nil {
				return
			}
			if _, err := c.Write(body); err != nil {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// end ends the process, and prints its log if the test has failed.
func (v *entryVM) end() {
	close(v.stop)
	v.sampling.Wait()
	_ = v.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
	if !v.t.Failed() {
		return
	}
	data, err := os.ReadFile(v.log)
	if err != nil {
		v.t.Log(err)
	}
	const shown = 8 << 10
	v.t.Logf("end of the log:\n%s", data[max(0, len(data)-shown):])
}

func (v *entryVM) isReady() bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: watchdog}
	resp, err := client.Get("http://" + v.ready + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// countSockets records how many sockets and pipes the process has open.
func (v *entryVM) countSockets() {
	n := int64(0)
	dir := fmt.Sprintf("/proc/%d/fd", v.cmd.Process.Pid)
	entries, _ := os.ReadDir(dir) // fails if the process has ended, which checkHealthy reports
	for _, e := range entries {
		link, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err == nil && (strings.HasPrefix(link, "socket:") || strings.HasPrefix(link, "pipe:")) {
			n++
		}
	}
	for most := v.sockets.Load(); n > most && !v.sockets.CompareAndSwap(most, n); {
		most = v.sockets.Load()
	}
}

// sampleSockets counts sockets until the test ends.
func (v *entryVM) sampleSockets() {
	for {
		v.countSockets()
		select {
		case <-v.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// peakMemory returns the most memory that the process has had resident, in bytes.
func (v *entryVM) peakMemory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		v.t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			if err != nil {
				v.t.Fatal(err)
			}
			return kb << 10
		}
	}
	v.t.Fatal("the process has no peak of memory; has it ended?")
	return 0
}

// checkHealthy checks that the process lives, answers an ordinary request, and has stayed within its memory and its descriptors.
func (v *entryVM) checkHealthy() {
	v.t.Helper()
	if err := v.callOrdinary(); err != nil { // connections are accepted in order, so that all of the crowd were before this one
		v.t.Errorf("an ordinary request: %v", err)
	}
	v.countSockets()
	select {
	case err := <-v.exited:
		v.t.Fatalf("the process has ended: %v", err)
	default:
	}
	peak, sockets := v.peakMemory(), v.sockets.Load()
	v.t.Logf("peak memory %d MB, sockets and pipes %d", peak>>20, sockets)
	if peak > memoryMB<<20 {
		v.t.Errorf("the process took %d MB of memory, more than the %d MB of its VM", peak>>20, memoryMB)
	}
	if sockets > maxDescriptors-reservedDescriptors {
		v.t.Errorf("the process had %d sockets and pipes open, more than the %d of its VM", sockets, maxDescriptors-reservedDescriptors)
	}
}

// callOrdinary sends one request as clients within the limits do, on a connection of its own.
func (v *entryVM) callOrdinary() error {
	c, err := net.DialTimeout("tcp", v.address, watchdog)
	if err != nil {
		return err
	}
	defer c.Close()
	return v.exchange(c, http.StatusOK)
}

// exchange sends an ordinary request on a connection, reads the whole answer and checks its status.
func (v *entryVM) exchange(c net.Conn, status int) error {
	const body = "ordinary"
	id := fmt.Sprintf("ordinary-%d", v.requests.Add(1))
	if err := c.SetDeadline(time.Now().Add(watchdog)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c, "POST /desk/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", id, host, id, len(body), body); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != status {
		return fmt.Errorf("status %d, want %d: %s", resp.StatusCode, status, answer)
	}
	return nil
}

// crowd runs a client on each of n connections at once, and waits until all have returned. The connections stay open until the test ends.
func (v *entryVM) crowd(n int, client func(c net.Conn)) {
	v.crowdAt(v.address, n, client)
}

// crowdAt is crowd at another address of the process.
func (v *entryVM) crowdAt(address string, n int, client func(c net.Conn)) {
	v.t.Helper()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", address, watchdog)
			if err != nil {
				v.t.Logf("connect: %v", err) // it may be refused
				return
			}
			v.t.Cleanup(func() { c.Close() })
			if err := c.SetDeadline(time.Now().Add(watchdog)); err != nil {
				v.t.Error(err)
			}
			client(c)
		})
	}
	wg.Wait()
}

// send writes pieces until most bytes are written or the process ends the connection.
func send(c net.Conn, most int, piece func(i int) string) {
	var chunk []byte
	for i, sent := 0, 0; sent < most; {
		chunk = chunk[:0]
		for ; len(chunk) < 32<<10 && sent+len(chunk) < most; i++ {
			chunk = append(chunk, piece(i)...)
		}
		n, err := c.Write(chunk)
		sent += n
		if err != nil {
			return
		}
	}
}

// readToEnd reads until the process closes the connection. It fails if the process does not.
func readToEnd(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := io.Copy(io.Discard, c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the process has not closed the connection")
	}
}
