package steward

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/platform"
)

// Times of the questions to the list of VMs.
const (
	vmPoll    = 2 * time.Second
	vmTimeout = 2 * time.Second
)

// vmList keeps the newest answer of the platform's list of VMs.
type vmList struct {
	s      *Steward
	lister platform.VMLister

	mu      sync.Mutex
	entry   map[string]platform.VM // by steward address
	leaving map[string]bool        // addresses of leaving target VMs, with or without port
}

func newVMList(s *Steward, l platform.VMLister) *vmList {
	v := &vmList{s: s, lister: l, entry: map[string]platform.VM{}, leaving: map[string]bool{}}
	s.members.setContacts(s.opts.Settings.Seeds)
	return v
}

func (v *vmList) run(ctx context.Context) error {
	for ctx.Err() == nil {
		v.poll(ctx)
		timer := time.NewTimer(vmPoll/2 + rand.N(vmPoll))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// poll asks once; without an answer the last one stays in force.
func (v *vmList) poll(ctx context.Context) {
	cctx, cancel := context.WithTimeout(ctx, vmTimeout)
	defer cancel()
	list, err := v.lister.VMs(cctx)
	if err != nil {
		v.s.opts.Metrics.Add("vm_list_errors", 1)
		return
	}
	entry, leaving := map[string]platform.VM{}, map[string]bool{}
	contacts := append([]string(nil), v.s.opts.Settings.Seeds...)
	for _, vm := range list.VMs {
		if vm.Role == platform.VMRoleEntry {
			entry[vm.Address] = vm
			if !vm.Leaving {
				contacts = append(contacts, vm.Address)
			}
		} else if vm.Leaving {
			leaving[vm.Address] = true
		}
	}
	v.mu.Lock()
	v.entry, v.leaving = entry, leaving
	v.mu.Unlock()
	v.s.members.setContacts(contacts)
	v.s.markDirty()
}

// leavingTarget tells whether the list says that the VM of a target is leaving.
func (v *vmList) leavingTarget(address string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leaving[address] {
		return true
	}
	host, _, err := net.SplitHostPort(address)
	return err == nil && v.leaving[host]
}

// leavingAddress tells whether the list says that an entry VM is leaving.
func (v *vmList) leavingAddress(steward string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.entry[steward].Leaving
}
