package standin3

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// memoryMb is the memory of a machine of the installation, in megabytes.
const memoryMb = 324

// vm is a process of the system on a machine with a loopback address of its own.
type vm struct {
	name, ip, zone, dir string
	frontend, ready     string
	cmd                 *exec.Cmd
	done                chan struct{}
	log                 *recorder
	settings            string
}

// command is the command of the deploy file.
var command = []string{"target/ibisentry", "run"}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// freePorts returns the first of two ports in a row that are free.
func freePorts(ip string) (int, error) {
	for range 50 {
		p, err := freePort(ip)
		if err != nil {
			return 0, err
		}
		l, err := net.Listen("tcp", ip+":"+strconv.Itoa(p+1))
		if err == nil {
			l.Close()
			return p, nil
		}
	}
	return 0, fmt.Errorf("no two free ports in a row at %s", ip)
}

const settingsText = `NodeName = %q
Role = "entry"
MachineClass = "client_facing"
Serves = ["client_facing"]
Ip = %q
Zone = %q
Region = "dixie-east"
InternalPorts = [%d,%d]
Seeds = []
Bootstrap = %t
CountsAsLoss = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch","platform"]
[Zones]
dixie-east-a = "dixie-east"
dixie-east-b = "dixie-east"
[Listen]
FrontendAddr = %q
ReadyAddr = %q
[Limits]
CpuShare = 0.8
Cores = 1
MemoryMb = %d
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
parts = 12
AppendMs = 2.0
PartMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
RetentionS = 300
PartMb = 200
MinTtlMs = 1000
`

// newVM prepares a machine. storeAddress is where it reaches the store.
func newVM(log *recorder, dir, name, ip, zone, storeAddress string, bootstrap bool) (*vm, error) {
	front, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	ready, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	internal, err := freePorts(ip)
	if err != nil {
		return nil, err
	}
	v := &vm{
		name: name, ip: ip, zone: zone, dir: dir, log: log, settings: filepath.Join(dir, name+".toml"),
		frontend: net.JoinHostPort(ip, strconv.Itoa(front)), ready: net.JoinHostPort(ip, strconv.Itoa(ready)),
	}
	text := fmt.Sprintf(settingsText, name, ip, zone, internal, internal+1, bootstrap, v.frontend, v.ready, memoryMb, storeAddress)
	return v, os.WriteFile(v.settings, []byte(text), 0o600)
}

func (v *vm) start() error {
	out, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	v.cmd = exec.Command(command[0], command[1:]...)
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "IBISTRAIL_BOOT=" + v.settings}
	v.cmd.Stdout, v.cmd.Stderr = out, out
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.log.printf("%s starts", v.name)
	done := make(chan struct{})
	v.done = done
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait() // how it ended stands in the record of the signal
		close(done)
	}(v.cmd)
	return nil
}

func (v *vm) signal(s syscall.Signal) { _ = v.cmd.Process.Signal(s) } // fails only if it has ended

// running reports whether the process has not ended.
func (v *vm) running() bool {
	select {
	case <-v.done:
		return false
	default:
		return true
	}
}

// awaitReady waits until the machine is ready.
func (v *vm) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		resp, err := http.Get("http://" + v.ready + "/v1/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s does not become ready: %w", v.name, ctx.Err())
}

// residentMb returns the resident memory of the process and its highest value so far, in megabytes.
func (v *vm) residentMb() (now, peak int) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.Atoi(f[1])
		switch f[0] {
		case "VmRSS:":
			now = kb >> 10
		case "VmHWM:":
			peak = kb >> 10
		}
	}
	return now, peak
}
