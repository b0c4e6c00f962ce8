package deployment

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fake/engine"
	"github.com/ibistrail/ibistrail/fake/logservice"
	"github.com/ibistrail/ibistrail/fake/service"
	"github.com/ibistrail/ibistrail/fake/vmlist"
	"github.com/ibistrail/ibistrail/fake/weightstore"
	"github.com/ibistrail/ibistrail/settings"
	"github.com/ibistrail/ibistrail/trial"
)

// OperatorToken is the operators' token in every plan.
const OperatorToken = "operator-token-of-a-plan-on-loopback"

// peerToken is the shared token of the nodes in every plan.
const peerToken = "peer-token-of-a-plan-on-loopback"

// CallerToken returns the token of the named caller or trainer in every plan.
func CallerToken(name string) string { return "token-of-" + name }

func tokenHash(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// Deployment is a plan: the settings of each process, the tables, the token of the nodes and the endpoints.
type Deployment struct {
	Customer  string
	Zones     []string
	Gates     []settings.Gate
	Stewards  []settings.Steward
	Platform  PlatformSettings
	Engines   EnginesSettings
	Services  ServicesSettings
	Tables    config.Tables
	PeerToken string
	Endpoints Endpoints
}

// Plan returns the deployment of a preset with free ports of the host. It fails if the preset is unknown, the host is
// not an IP address, or no ports can be reserved.
func Plan(opts Options) (*Deployment, error) {
	opts, template, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	b := &planner{opts: opts, template: template, deployment: &Deployment{Customer: template.customer, Zones: template.zones, PeerToken: peerToken}}
	if err := b.reservePorts(); err != nil {
		return nil, err
	}
	b.planPlatform()
	b.planPools()
	b.planNodes()
	b.planRoutes()
	b.planEndpoints()
	return b.deployment, nil
}

// planner builds a Deployment.
type planner struct {
	opts          Options
	template      *preset
	deployment    *Deployment
	freeAddresses []string
}

// portsPerNode is the number of ports that the gate and the steward of an entry VM listen on together.
const portsPerNode = 5

// reservePorts finds free ports for the nodes, the platform's stand-ins, the admin servers and the targets, by listening
// on them all at once. The listeners are closed when it returns.
func (b *planner) reservePorts() error {
	n := len(b.template.zones)*b.opts.VMsPerZone*portsPerNode + 6
	for _, pool := range b.template.pools {
		n += pool.targets
	}
	listeners := make([]net.Listener, 0, n)
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(b.opts.Host, "0"))
		if err != nil {
			return fmt.Errorf("plan: no free port at %s: %w", b.opts.Host, err)
		}
		listeners = append(listeners, l)
		b.freeAddresses = append(b.freeAddresses, l.Addr().String())
	}
	return nil
}

// nextAddress returns the next reserved address.
func (b *planner) nextAddress() string {
	a := b.freeAddresses[0]
	b.freeAddresses = b.freeAddresses[1:]
	return a
}

func (b *planner) planPlatform() {
	versions := map[string]int64{}
	for _, pool := range b.template.pools {
		if pool.spec.Kind == config.PoolEngines {
			versions[pool.spec.Model] = initialVersion
		}
	}
	b.deployment.Platform = PlatformSettings{
		AdminAddress: b.nextAddress(), LogAddress: b.nextAddress(), StoreAddress: b.nextAddress(), VMListAddress: b.nextAddress(),
		Log:   logservice.Options{RetentionMs: b.opts.RetentionMs, AppendsPerSecond: b.opts.AppendsPerSecond},
		Store: weightstore.Options{FetchMs: b.opts.FetchMs, LoadRate: b.opts.LoadRate, Versions: versions},
		VMs:   vmlist.Options{LagMs: b.opts.VMListLagMs},
	}
	b.deployment.Engines.AdminAddress = b.nextAddress()
	b.deployment.Services.AdminAddress = b.nextAddress()
}

// planPools adds the targets of each pool, spread round-robin over the availability zones.
func (b *planner) planPools() {
	for _, pool := range b.template.pools {
		spec := pool.spec
		for i := range pool.targets {
			az := b.template.zones[i%len(b.template.zones)]
			t := config.Target{Name: fmt.Sprintf("%s-%d", spec.Name, i+1), Address: b.nextAddress(), AvailabilityZone: az}
			spec.Targets = append(spec.Targets, t)
			b.deployment.Platform.VMs.VMs = append(b.deployment.Platform.VMs.VMs, trial.VM{Name: t.Name, Address: t.Address, AvailabilityZone: az, Role: trial.VMRoleTarget})
			b.planTarget(pool, t)
		}
		if spec.Kind == config.PoolEngines {
			spec.FencingChecked = !b.opts.FencingUnchecked
		}
		b.deployment.Tables.Pools = append(b.deployment.Tables.Pools, spec)
	}
}

func (b *planner) planTarget(pool poolPlan, t config.Target) {
	if pool.spec.Kind == config.PoolServices {
		b.deployment.Services.Services = append(b.deployment.Services.Services, ServiceSettings{
			Address: t.Address, Options: service.Options{Name: t.Name, WorkMs: pool.workMs}})
		return
	}
	b.deployment.Engines.Engines = append(b.deployment.Engines.Engines, EngineSettings{Address: t.Address, Options: engine.Options{
		Name: t.Name, Model: pool.spec.Model, Version: initialVersion, StoreURL: "http://" + b.deployment.Platform.StoreAddress,
		FencingChecked: !b.opts.FencingUnchecked, RestartMs: b.opts.RestartMs, Rates: b.opts.Rates,
	}})
}

func (b *planner) planNodes() {
	firstGate := b.opts.FirstGate
	for i := range b.opts.VMsPerZone {
		for _, az := range b.template.zones {
			node := settings.Node{
				ID: fmt.Sprintf("%s-%d", az, i+1), Customer: b.template.customer, AvailabilityZone: az,
				StewardAddress: b.nextAddress(), GateAddress: b.nextAddress(), GateHTTP: b.nextAddress(), Debug: b.opts.Debug,
			}
			if firstGate != "" {
				node.GateHTTP, firstGate = firstGate, ""
			}
			b.addNode(node)
		}
	}
	seeds := []string{}
	for _, s := range b.deployment.Stewards[:min(len(b.deployment.Stewards), len(b.template.zones))] {
		seeds = append(seeds, s.StewardAddress)
	}
	for i := range b.deployment.Stewards {
		b.deployment.Stewards[i].Seeds = seeds
	}
}

func (b *planner) addNode(node settings.Node) {
	b.deployment.Gates = append(b.deployment.Gates, settings.Gate{
		Node: node, DebugAddress: b.nextAddress(), BalancerLagMs: b.opts.BalancerLagMs, DrainTimeoutMs: b.opts.DrainTimeoutMs,
		MaxBodyBytes: DefaultMaxBodyBytes, OperatorTokenSHA256: tokenHash(OperatorToken), Policy: b.opts.Policy,
	})
	platform := b.deployment.Platform
	b.deployment.Stewards = append(b.deployment.Stewards, settings.Steward{
		Node: node, DebugAddress: b.nextAddress(), LogURL: "http://" + platform.LogAddress, StoreURL: "http://" + platform.StoreAddress,
		VMListURL: "http://" + platform.VMListAddress, OperatorTokenSHA256: tokenHash(OperatorToken), LeaseTTLMs: b.opts.LeaseTTLMs, Policy: b.opts.Policy,
	})
	b.deployment.Platform.VMs.VMs = append(b.deployment.Platform.VMs.VMs, trial.VM{
		Name: node.ID, Address: node.StewardAddress, AvailabilityZone: node.AvailabilityZone, Role: trial.VMRoleEntry})
}

func (b *planner) planRoutes() {
	for _, r := range b.template.routes {
		r.Customer = b.template.customer
		for _, c := range b.template.callers[r.Name] {
			r.Callers = append(r.Callers, config.Caller{Name: c.name, TokenSHA256: tokenHash(CallerToken(c.name)), Weight: c.weight})
		}
		b.deployment.Tables.Routes = append(b.deployment.Tables.Routes, r)
	}
}
