package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/forward"
	"github.com/ibistrail/ibistrail/tenure"
	"github.com/ibistrail/ibistrail/usage"
	"github.com/ibistrail/ibistrail/wire"
)

// usageTiming is the timing of the tenure of usage reports. A window has several seconds for its report, so that records a second apart
// do: each of them is read by all large VMs. A successor takes over after 2.3 to 2.7 s.
var usageTiming = tenure.Timing{Renew: time.Second, Takeover: 2300 * time.Millisecond, Watch: 2 * time.Second, Standby: 4 * time.Second}

// Limits of the question which VMs reach the platform's API.
const (
	// reachTimeout bounds this VM's connection to the API, askTimeout the answer of another VM, which includes such a connection.
	reachTimeout = 300 * time.Millisecond
	askTimeout   = 600 * time.Millisecond
	// maxAskedVMs is the number of other VMs that are asked.
	maxAskedVMs = 4
)

// reacher is implemented by a client of the API that tells whether this VM reaches it.
type reacher interface {
	Reach(ctx context.Context) error
}

// usageDuty counts this VM's requests and competes for the duty to report those of all VMs.
type usageDuty struct {
	service *usage.Service
	tenure  *tenure.Tenure
	self    string
	api     reacher // nil if the client does not tell
	call    func(ctx context.Context, address, method string, params, result any) error

	mu  sync.Mutex
	vms []fleet.VM
}

// newUsageDuty returns nil if there is no such duty.
func newUsageDuty(opts *Options, processID string, call func(ctx context.Context, address, method string, params, result any) error) *usageDuty {
	s := &opts.Settings
	if !s.Duties.ReportUsage || opts.DutyAPI == nil {
		return nil
	}
	u := &usageDuty{self: s.VM, call: call}
	u.api, _ = opts.DutyAPI.(reacher)
	u.service = usage.New(usage.Options{
		VM: s.VM, Process: processID, Window: s.Duties.UsageWindow, Due: s.Duties.UsageDue, Partitions: s.Partitions, MaxRecordBytes: s.RecordBytes,
		Store: opts.Store, API: opts.DutyAPI, CutOff: u.cutOff, Wall: time.Now, BootTime: opts.BootTime, Log: opts.Log, Metrics: opts.Metrics,
	})
	u.tenure = tenure.New(tenure.Options{
		Store: opts.Store, Topic: usage.TenureTopic, Machine: s.IP, Process: processID, HandoverDelay: s.OrderHandover, Standby: s.Small(),
		Able: func() bool { return u.reaches(context.Background()) }, Timing: usageTiming, Clock: opts.BootTime, Log: opts.Log, OnChange: u.service.TenureChanged,
	})
	return u
}

// setVMs replaces the announced VMs.
func (u *usageDuty) setVMs(vms []fleet.VM) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.vms = slices.DeleteFunc(slices.Clone(vms), func(vm fleet.VM) bool { return vm.Name == u.self || vm.RPCAddress == "" || vm.Small })
}

// reaches reports whether this VM opens a connection to the platform's API, or does not know.
func (u *usageDuty) reaches(ctx context.Context) bool {
	if u.api == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	return u.api.Reach(ctx) == nil
}

// cutOff reports whether this VM does not reach the platform's API while another large one does.
func (u *usageDuty) cutOff(ctx context.Context) bool {
	if u.reaches(ctx) {
		return false
	}
	u.mu.Lock()
	vms := slices.Clone(u.vms)
	u.mu.Unlock()
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	vms = vms[:min(len(vms), maxAskedVMs)]
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan bool, len(vms))
	for _, vm := range vms {
		go func() {
			var r wire.ReachDutiesResult
			answers <- u.call(ctx, vm.RPCAddress, wire.MethodReachDuties, wire.ReachDutiesParams{}, &r) == nil && r.Reached
		}()
	}
	for range vms {
		if <-answers {
			return true
		}
	}
	return false
}

// handleReach answers another VM whether this one reaches the platform's API.
func (u *usageDuty) handleReach(ctx context.Context, _ wire.ReachDutiesParams) (wire.ReachDutiesResult, error) {
	return wire.ReachDutiesResult{Reached: u != nil && u.api != nil && u.reaches(ctx)}, nil
}

// counter returns the counter of the forwarder's requests, or nil.
func (u *usageDuty) counter() forward.UsageCounter {
	if u == nil {
		return nil
	}
	return u.service
}

// start begins to append counts and to compete for the duty, until ctx ends.
func (u *usageDuty) start(ctx context.Context) {
	if u != nil {
		go u.tenure.Run(ctx)
		go u.service.Run(ctx, u.tenure)
	}
}

// release gives the duty to another VM.
func (u *usageDuty) release(ctx context.Context) {
	if u == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	u.tenure.Release(ctx)
}

// flush appends what was counted.
func (u *usageDuty) flush(ctx context.Context) {
	if u == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	u.service.Flush(ctx)
}

// state returns the duty's entry in the state dump, or nil.
func (u *usageDuty) state() *usage.State {
	if u == nil {
		return nil
	}
	s := u.service.State()
	s.Holder = u.tenure.State().Holder
	return &s
}
