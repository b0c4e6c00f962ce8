package steward

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/rumor"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

// Times of the questions to the list of VMs.
const (
	// vmPollPeriod is how often all nodes together ask for the list, which has no short form: each asks
	// more rarely the more they are, and tells the others what is leaving.
	vmPollPeriod = 2 * time.Second
	vmTimeout    = 2 * time.Second
	// vmRetryDelay is the pause after a question without an answer.
	vmRetryDelay = 2 * time.Second
	// vmListReason is the reason of a target that leaves by the list.
	vmListReason = "list of VMs says leaving"
)

// vmList asks for the platform's list of VMs and spreads which of them are leaving.
type vmList struct {
	steward *Steward
	lister  trial.VMLister

	mu         sync.Mutex
	entries    int // VMs of the newest answer
	receivedAt time.Time
}

func newVMList(steward *Steward, l trial.VMLister) *vmList {
	steward.members.setContacts(steward.opts.Settings.Seeds)
	return &vmList{steward: steward, lister: l}
}

func (v *vmList) run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := vmPollPeriod * time.Duration(max(1, len(v.steward.members.Alive())))
		if !v.poll(ctx) {
			pause = vmRetryDelay
		}
		timer := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// poll asks once and tells whether there was an answer; without one the last stays in force.
func (v *vmList) poll(ctx context.Context) bool {
	cctx, cancel := context.WithTimeout(ctx, vmTimeout)
	defer cancel()
	list, err := v.lister.VMs(cctx)
	if err != nil {
		v.steward.opts.Metrics.Add("vm_list_errors", 1)
		return false
	}
	now := time.Now()
	announced := v.leavingRumors()
	contacts := append([]string(nil), v.steward.opts.Settings.Seeds...)
	var rumors []wire.Rumor
	for _, vm := range list.VMs {
		r, known := announced[vm.Address]
		switch {
		case vm.Leaving && (!known || r.Expires < now.Add(leavingTTL/2).UnixMilli()):
			rumors = append(rumors, newLeavingRumor(now, vm.Address, vmListReason))
		case !vm.Leaving && known:
			rumors = append(rumors, newLeavingRumor(now, vm.Address, ""))
		}
		if vm.Role == trial.VMRoleEntry && !vm.Leaving {
			contacts = append(contacts, vm.Address)
		}
	}
	v.mu.Lock()
	v.entries, v.receivedAt = len(list.VMs), now
	v.mu.Unlock()
	v.steward.members.addLocalRumors(rumors...)
	v.steward.members.setContacts(contacts)
	return true
}

// leavingRumors returns what was spread of the list's leaving VMs, by address.
func (v *vmList) leavingRumors() map[string]wire.Rumor {
	out := map[string]wire.Rumor{}
	for _, r := range v.steward.members.rumorsByKind(rumor.KindLeaving) {
		var reason string
		if json.Unmarshal(r.Value, &reason) == nil && reason == vmListReason {
			out[r.Key] = r
		}
	}
	return out
}

// leavingReason finds an address, or its host where the list names VMs without a port.
func leavingReason(leaving map[string]string, address string) (string, bool) {
	if reason, ok := leaving[address]; ok {
		return reason, true
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "", false
	}
	reason, ok := leaving[host]
	return reason, ok
}
