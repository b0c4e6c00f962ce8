// Package deployment plans a whole deployment on loopback: nodes, stand-ins, tables, tokens and
// addresses, for scripts, scenarios and experiments. It also starts the stand-ins.
package deployment

import (
	"fmt"
	"net"
	"strings"

	"github.com/ibistrail/ibistrail/fake/engine"
	"github.com/ibistrail/ibistrail/settings"
)

// Preset names a customer's deployment.
type Preset string

// The presets.
const (
	// PresetSmall is two zones with one entry VM, two engines and two services each.
	PresetSmall Preset = "small"
	// PresetMagnolia is Magnolia Errata Systems.
	PresetMagnolia Preset = "magnolia"
	// PresetSongHan is Com Hop Song Han Provisions.
	PresetSongHan Preset = "songhan"
)

// Defaults of a plan, sized for short runs.
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

// Options configure a plan. Zero values mean the preset's or the package's defaults.
type Options struct {
	Preset Preset
	// Host is the IP number that all processes listen on; each run of a test can take a 127.x.y.z of its own.
	Host string
	// FirstGate is the address of the first gate for callers; empty means a free port.
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
	// LoadRate is how many engines the weight store serves at a time.
	LoadRate int
	// FencingUnchecked makes the engines ignore fencing tokens.
	FencingUnchecked bool
	// RestartMs is after how long an engine that a request has killed comes back; 0 means never.
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
		return o, nil, fmt.Errorf("host %q is no IP number; use one such as %s", o.Host, DefaultHost)
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

// PresetNames lists the presets.
func PresetNames() []string {
	return []string{string(PresetSmall), string(PresetMagnolia), string(PresetSongHan)}
}
