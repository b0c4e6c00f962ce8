package trial

import "context"

// WeightVersion is the newest version of a model in the weight store,
// GET /v1/models/{model}/latest. Engines fetch the bytes themselves; status 429 with Retry-After
// means that the store's rate is exceeded.
type WeightVersion struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	// LoadRate is how many engines the store serves with weights at a time.
	LoadRate int `json:"load_rate"`
}

// WeightStore is the platform's rate-limited store of weights.
type WeightStore interface {
	// Latest returns the newest version of model.
	Latest(ctx context.Context, model string) (*WeightVersion, error)
}

// VMRole tells what runs on a VM.
type VMRole string

// The roles of VMs.
const (
	VMRoleEntry  VMRole = "entry"
	VMRoleTarget VMRole = "target"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	Role             VMRole `json:"role"`
	// Leaving is true once the platform has decided to take the VM away.
	Leaving bool `json:"leaving"`
}

// VMList answers GET /v1/vms; it lags behind the truth.
type VMList struct {
	VMs []VM `json:"vms"`
}

// VMLister is the platform's lagging list of VMs. For an entry VM, Address is the steward's
// jsonrpc2 address.
type VMLister interface {
	// VMs returns the list.
	VMs(ctx context.Context) (*VMList, error)
}
