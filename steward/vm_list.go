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

// Periods and timeouts of requests for the VM list.
const (
	// vmPollPeriod is the mean time between two requests of the whole cluster. The list can only be read
	// as a whole, so each node polls less often the more nodes there are and publishes the leaving VMs to the others.
	vmPollPeriod = 2 * time.Second
	vmTimeout    = 2 * time.Second
	// vmRetryDelay is the delay after a failed request.
	vmRetryDelay = 2 * time.Second
	// vmListReason is the reason in rumors of targets that the VM list reports as leaving.
	vmListReason = "list of VMs says leaving"
)

// vmList polls the platform's list of VMs, publishes the leaving ones as rumors, and sets the contacts of the
// membership.
type vmList struct {
	steward *Steward
	lister  trial.VMLister

	mu         sync.Mutex
	entries    int // number of VMs in the last list
	receivedAt time.Time
}

func newVMList(steward *Steward, l trial.VMLister) *vmList {
	steward.gossip.setContacts(steward.opts.Settings.Seeds)
	return &vmList{steward: steward, lister: l}
}

func (v *vmList) run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := vmPollPeriod * time.Duration(max(1, len(v.steward.gossip.Alive())))
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

// poll requests the list once and reports whether that succeeded; after a failure the last list stays in use.
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
	v.steward.gossip.addLocalRumors(rumors...)
	v.steward.gossip.setContacts(contacts)
	return true
}

// leavingRumors returns the rumors of VMs that the list reports as leaving, by address.
func (v *vmList) leavingRumors() map[string]wire.Rumor {
	out := map[string]wire.Rumor{}
	for _, r := range v.steward.gossip.rumorsByKind(rumor.KindLeaving) {
		var reason string
		if json.Unmarshal(r.Value, &reason) == nil && reason == vmListReason {
			out[r.Key] = r
		}
	}
	return out
}

// leavingReason returns the reason why an address is leaving, and whether it is. It also looks up the host alone,
// because the VM list may name VMs without a port.
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
