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
	p := &planner{opts: opts, template: template, deployment: &Deployment{Customer: template.customer, Zones: template.zones, PeerToken: peerToken}}
	if err := p.reservePorts(); err != nil {
		return nil, err
	}
	p.planPlatform()
	p.planPools()
	p.planNodes()
	p.planRoutes()
	p.planEndpoints()
	return p.deployment, nil
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
func (p *planner) reservePorts() error {
	n := len(p.template.zones)*p.opts.VMsPerZone*portsPerNode + 6
	for _, pool := range p.template.pools {
		n += pool.targets
	}
	listeners := make([]net.Listener, 0, n)
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(p.opts.Host, "0"))
		if err != nil {
			return fmt.Errorf("plan: no free port at %s: %w", p.opts.Host, err)
		}
		listeners = append(listeners, l)
		p.freeAddresses = append(p.freeAddresses, l.Addr().String())
	}
	return nil
}

// nextAddress returns the next reserved address.
func (p *planner) nextAddress() string {
	a := p.freeAddresses[0]
	p.freeAddresses = p.freeAddresses[1:]
	return a
}

func (p *planner) planPlatform() {
	versions := map[string]int64{}
	for _, pool := range p.template.pools {
		if pool.spec.Kind == config.PoolEngines {
			versions[pool.spec.Model] = initialVersion
		}
	}
	p.deployment.Platform = PlatformSettings{
		AdminAddress: p.nextAddress(), LogAddress: p.nextAddress(), StoreAddress: p.nextAddress(), VMListAddress: p.nextAddress(),
		Log:   logservice.Options{RetentionMs: p.opts.RetentionMs, AppendsPerSecond: p.opts.AppendsPerSecond},
		Store: weightstore.Options{FetchMs: p.opts.FetchMs, LoadRate: p.opts.LoadRate, Versions: versions},
		VMs:   vmlist.Options{LagMs: p.opts.VMListLagMs},
	}
	p.deployment.Engines.AdminAddress = p.nextAddress()
	p.deployment.Services.AdminAddress = p.nextAddress()
}

// planPools adds the targets of each pool, spread round-robin over the availability zones.
func (p *planner) planPools() {
	for _, pool := range p.template.pools {
		spec := pool.spec
		for i := range pool.targets {
			az := p.template.zones[i%len(p.template.zones)]
			t := config.Target{Name: fmt.Sprintf("%s-%d", spec.Name, i+1), Address: p.nextAddress(), AvailabilityZone: az}
			spec.Targets = append(spec.Targets, t)
			p.deployment.Platform.VMs.VMs = append(p.deployment.Platform.VMs.VMs, trial.VM{Name: t.Name, Address: t.Address, AvailabilityZone: az, Role: trial.VMRoleTarget})
			p.planTarget(pool, t)
		}
		if spec.Kind == config.PoolEngines {
			spec.FencingChecked = !p.opts.FencingUnchecked
		}
		p.deployment.Tables.Pools = append(p.deployment.Tables.Pools, spec)
	}
}

func (p *planner) planTarget(pool poolPlan, t config.Target) {
	if pool.spec.Kind == config.PoolServices {
		p.deployment.Services.Services = append(p.deployment.Services.Services, ServiceSettings{
			Address: t.Address, Options: service.Options{Name: t.Name, WorkMs: pool.workMs}})
		return
	}
	p.deployment.Engines.Engines = append(p.deployment.Engines.Engines, EngineSettings{Address: t.Address, Options: engine.Options{
		Name: t.Name, Model: pool.spec.Model, Version: initialVersion, StoreURL: "http://" + p.deployment.Platform.StoreAddress,
		FencingChecked: !p.opts.FencingUnchecked, RestartMs: p.opts.RestartMs, Rates: p.opts.Rates,
	}})
}

func (p *planner) planNodes() {
	firstGate := p.opts.FirstGate
	for i := range p.opts.VMsPerZone {
		for _, az := range p.template.zones {
			node := settings.Node{
				ID: fmt.Sprintf("%s-%d", az, i+1), Customer: p.template.customer, AvailabilityZone: az,
				StewardAddress: p.nextAddress(), GateAddress: p.nextAddress(), GateHTTP: p.nextAddress(), Debug: p.opts.Debug,
			}
			if firstGate != "" {
				node.GateHTTP, firstGate = firstGate, ""
			}
			p.addNode(node)
		}
	}
	seeds := []string{}
	for _, s := range p.deployment.Stewards[:min(len(p.deployment.Stewards), len(p.template.zones))] {
		seeds = append(seeds, s.StewardAddress)
	}
	for i := range p.deployment.Stewards {
		p.deployment.Stewards[i].Seeds = seeds
	}
}

func (p *planner) addNode(node settings.Node) {
	p.deployment.Gates = append(p.deployment.Gates, settings.Gate{
		Node: node, DebugAddress: p.nextAddress(), BalancerLagMs: p.opts.BalancerLagMs, DrainTimeoutMs: p.opts.DrainTimeoutMs,
		MaxBodyBytes: DefaultMaxBodyBytes, OperatorTokenSHA256: tokenHash(OperatorToken), Policy: p.opts.Policy,
	})
	platform := p.deployment.Platform
	p.deployment.Stewards = append(p.deployment.Stewards, settings.Steward{
		Node: node, DebugAddress: p.nextAddress(), LogURL: "http://" + platform.LogAddress, StoreURL: "http://" + platform.StoreAddress,
		VMListURL: "http://" + platform.VMListAddress, OperatorTokenSHA256: tokenHash(OperatorToken), LeaseTTLMs: p.opts.LeaseTTLMs, Policy: p.opts.Policy,
	})
	p.deployment.Platform.VMs.VMs = append(p.deployment.Platform.VMs.VMs, trial.VM{
		Name: node.ID, Address: node.StewardAddress, AvailabilityZone: node.AvailabilityZone, Role: trial.VMRoleEntry})
}

func (p *planner) planRoutes() {
	for _, r := range p.template.routes {
		r.Customer = p.template.customer
		for _, c := range p.template.callers[r.Name] {
			r.Callers = append(r.Callers, config.Caller{Name: c.name, TokenSHA256: tokenHash(CallerToken(c.name)), Weight: c.weight})
		}
		p.deployment.Tables.Routes = append(p.deployment.Tables.Routes, r)
	}
}
