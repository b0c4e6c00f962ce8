package entry

import (
	"context"
	"time"

	"github.com/ibistrail/ibistrail/forward"
	"github.com/ibistrail/ibistrail/tenure"
	"github.com/ibistrail/ibistrail/usage"
)

// usageTiming is the timing of the tenure of usage reports. A window has several seconds for its report, so that records a second apart
// do: each of them is read by all large VMs. A successor takes over after 2.3 to 2.7 s.
var usageTiming = tenure.Timing{Renew: time.Second, Takeover: 2300 * time.Millisecond, Watch: 2 * time.Second, Standby: 4 * time.Second}

// usageDuty counts this VM's requests and competes for the duty to report those of all VMs.
type usageDuty struct {
	service *usage.Service
	tenure  *tenure.Tenure
}

// newUsageDuty returns nil if there is no such duty.
func newUsageDuty(opts *Options, processID string) *usageDuty {
	s := &opts.Settings
	if !s.Duties.ReportUsage || opts.DutyAPI == nil {
		return nil
	}
	service := usage.New(usage.Options{
		VM: s.VM, Process: processID, Window: s.Duties.UsageWindow, Due: s.Duties.UsageDue, Partitions: s.Partitions, MaxRecordBytes: s.RecordBytes,
		Store: opts.Store, API: opts.DutyAPI, Wall: time.Now, BootTime: opts.BootTime, Log: opts.Log, Metrics: opts.Metrics,
	})
	return &usageDuty{service: service, tenure: tenure.New(tenure.Options{
		Store: opts.Store, Topic: usage.TenureTopic, Machine: s.IP, Process: processID, HandoverDelay: s.OrderHandover, Standby: s.Small(),
		Timing: usageTiming, Clock: opts.BootTime, Log: opts.Log, OnChange: service.TenureChanged,
	})}
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
