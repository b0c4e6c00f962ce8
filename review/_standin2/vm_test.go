package standin2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// vm is one machine of the system: a process of the project's program.
type vm struct {
	name, zone, ip string
	storeAddress   string
	settings       string
	log            string
	cmd            *exec.Cmd
	exited         chan struct{}
}

var (
	processesMu sync.Mutex
	processes   []*exec.Cmd
	workDir     string
)

// endProcesses kills what this run has started.
func endProcesses() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, c := range processes {
		c.Process.Kill()
	}
	if workDir != "" {
		os.RemoveAll(workDir)
	}
}

const (
	frontendPort = 8144
	readyPort    = 8140
	controlPort  = 8146
)

func newVM(name, zone string, s *store) *vm {
	v := &vm{name: name, zone: zone, ip: loopbackIP()}
	v.storeAddress = s.listen(name)
	v.settings, v.log = filepath.Join(workDir, name+".toml"), filepath.Join(workDir, name+".log")
	return v
}

// writeSettings writes the settings file with the values of the smallest site's sheet.
func (v *vm) writeSettings(bootstrap bool, parts int) {
	text := fmt.Sprintf(`NodeName = %q
Role = "entry"
MachineClass = "client_facing"
Serves = ["client_facing"]
Ip = %q
Zone = %q
Region = "region"
InternalPorts = [7660,7675]
Seeds = []
Bootstrap = %v
CountsAsLoss = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch","platform"]
[Zones]
zone-a = "region"
zone-b = "region"
[Listen]
FrontendAddr = "%s:%d"
ReadyAddr = "%s:%d"
Control = "%s:%d"
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
RecordBytes = 262144
CallBytes = 2097152
RetentionS = 300
PartMb = 200
MinTtlMs = 1000
`, v.name, v.ip, v.zone, bootstrap, v.ip, frontendPort, v.ip, readyPort, v.ip, controlPort, v.storeAddress, parts)
	check(os.WriteFile(v.settings, []byte(text), 0o644))
}

// start starts the program with the command of the deploy file.
func (v *vm) start() {
	logFile, err := os.OpenFile(v.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	check(err)
	defer logFile.Close()
	c := exec.Command("target/ibisentry", "run")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "IBISTRAIL_BOOT=" + v.settings}
	c.Stdout, c.Stderr = logFile, logFile
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(c.Start())
	processesMu.Lock()
	processes = append(processes, c)
	processesMu.Unlock()
	v.cmd, v.exited = c, make(chan struct{})
	go func(done chan struct{}) { c.Wait(); close(done) }(v.exited)
	note("start %s pid %d", v.name, c.Process.Pid)
}

func (v *vm) signal(sig syscall.Signal) {
	note("signal %s to %s", sig, v.name)
	v.cmd.Process.Signal(sig)
}

func (v *vm) frontend() string { return fmt.Sprintf("%s:%d", v.ip, frontendPort) }

// ready asks the machine as the platform's balancer does.
func (v *vm) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/v1/ready", v.ip, readyPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func awaitReady(vms []*vm) {
	deadline := time.Now().Add(15 * time.Second)
	for _, v := range vms {
		for !v.ready() {
			if time.Now().After(deadline) {
				check(fmt.Errorf("%s is not ready", v.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	note("all machines are ready")
}

// dialFrom opens a connection of a client.
func dialClient(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, time.Second)
}
