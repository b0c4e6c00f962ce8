// Package deployment plans complete deployments on loopback for scripts, scenarios and experiments:
// nodes, stand-ins, tables, tokens and addresses. It also starts the stand-ins.
package deployment

import (
	"fmt"
	"net"
	"strings"

	"github.com/ibistrail/ibistrail/fake/engine"
	"github.com/ibistrail/ibistrail/settings"
)

// Preset is the name of a predefined deployment of a customer.
type Preset string

// The presets.
const (
	// PresetSmall has two availability zones with one entry VM, two engines and two services each.
	PresetSmall Preset = "small"
	// PresetMagnolia is the deployment of Magnolia Errata Systems.
	PresetMagnolia Preset = "magnolia"
	// PresetSongHan is the deployment of Com Hop Song Han Provisions.
	PresetSongHan Preset = "songhan"
)

// Defaults of a plan, sized for short runs: times in milliseconds, sizes in bytes.
const (
	DefaultHost                 = "127.0.0.1"
	DefaultBalancerLagMs        = 300
	DefaultDrainTimeoutMs       = 30_000
	DefaultLeaseTTLMs           = 3_000
	DefaultVMListLagMs          = 1_000
	DefaultRetentionMs          = 600_000
	DefaultFetchMs              = 150
	DefaultServiceWorkMs        = 5
	DefaultScoreWorkMs          = 2
	DefaultMaxBodyBytes         = 4 << 20
	initialVersion        int64 = 1
)

// Options configure a plan. Zero values mean the preset's or the package's defaults; fields whose names end in Ms are in
// milliseconds.
type Options struct {
	Preset Preset
	// Host is the IP address that all processes listen on; each test run can use a separate 127.x.y.z.
	Host string
	// FirstGate is the host:port at which the first gate serves callers; empty means a free port.
	FirstGate string
	// VMsPerZone is the number of entry VMs in each availability zone.
	VMsPerZone int
	// Debug enables the test switches of the nodes.
	Debug bool

	RetentionMs      int64
	AppendsPerSecond float64
	VMListLagMs      int64
	LeaseTTLMs       int64
	BalancerLagMs    int64
	DrainTimeoutMs   int64
	FetchMs          int64
	// LoadRate is how many engines can fetch weights from the store at a time.
	LoadRate int
	// FencingUnchecked makes the engines ignore fencing tokens.
	FencingUnchecked bool
	// RestartMs is the delay until an engine restarts after a crash that a request caused; 0 means that it stays down.
	RestartMs int64
	Rates     engine.Rates
	Policy    settings.Policy
}

func (o Options) withDefaults() (Options, *preset, error) {
	p, ok := presets[o.Preset]
	if !ok {
		return o, nil, fmt.Errorf("preset %q is unknown; use %s", o.Preset, strings.Join(PresetNames(), ", "))
	}
	setDefault(&o.Host, DefaultHost)
	if net.ParseIP(o.Host) == nil {
		return o, nil, fmt.Errorf("host %q is not an IP address; use one such as %s", o.Host, DefaultHost)
	}
	setDefault(&o.VMsPerZone, p.vmsPerZone)
	setDefault(&o.RetentionMs, DefaultRetentionMs)
	setDefault(&o.VMListLagMs, DefaultVMListLagMs)
	setDefault(&o.LeaseTTLMs, DefaultLeaseTTLMs)
	setDefault(&o.BalancerLagMs, DefaultBalancerLagMs)
	setDefault(&o.DrainTimeoutMs, DefaultDrainTimeoutMs)
	setDefault(&o.FetchMs, DefaultFetchMs)
	return o, p, nil
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// PresetNames returns the names of all presets.
func PresetNames() []string {
	return []string{string(PresetSmall), string(PresetMagnolia), string(PresetSongHan)}
}
