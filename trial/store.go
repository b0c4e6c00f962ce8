package trial

import "context"

// WeightVersion is the latest version of a model in the weight store, the response to
// GET /v1/models/{model}/latest. Engines fetch the weights from the store themselves; status 429 with
// Retry-After means that the store's rate limit is exceeded.
type WeightVersion struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	// LoadRate is the number of engines to which the store serves weights concurrently.
	LoadRate int `json:"load_rate"`
}

// WeightStore is the platform's rate-limited store of weights.
type WeightStore interface {
	// Latest returns the latest version of model.
	Latest(ctx context.Context, model string) (*WeightVersion, error)
}

// VMRole is the role of a VM.
type VMRole string

// VM roles.
const (
	VMRoleEntry  VMRole = "entry"
	VMRoleTarget VMRole = "target"
)

// VM is an entry of the platform's list of VMs. For an entry VM, Address is the address at which the steward
// serves JSON-RPC.
type VM struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	Role             VMRole `json:"role"`
	// Leaving is true once the platform has decided to reclaim the VM.
	Leaving bool `json:"leaving"`
}

// VMList is the response to GET /v1/vms. It may be out of date.
type VMList struct {
	VMs []VM `json:"vms"`
}

// VMLister is the platform's list of VMs.
type VMLister interface {
	// VMs returns the list, which may be out of date.
	VMs(ctx context.Context) (*VMList, error)
}
