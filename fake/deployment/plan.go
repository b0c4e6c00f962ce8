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

// OperatorToken is the operators' token of each plan.
const OperatorToken = "operator-token-of-a-plan-on-loopback"

// peerToken is the nodes' secret of each plan.
const peerToken = "peer-token-of-a-plan-on-loopback"

// CallerToken returns the token of a caller or trainer of a plan.
func CallerToken(name string) string { return "token-of-" + name }

func sha256Hex(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// Deployment is a plan: the settings of each process and the tables.
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

// Plan returns the deployment of a preset, at free addresses of the host.
func Plan(o Options) (*Deployment, error) {
	o, p, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	b := &planner{o: o, p: p, d: &Deployment{Customer: p.customer, Zones: p.zones, PeerToken: peerToken}}
	if err := b.reserve(); err != nil {
		return nil, err
	}
	b.planPlatform()
	b.planPools()
	b.planNodes()
	b.planRoutes()
	b.planEndpoints()
	return b.d, nil
}

// planner builds a Deployment.
type planner struct {
	o         Options
	p         *preset
	d         *Deployment
	addresses []string
}

// portsPerNode is how many addresses the two processes of an entry VM listen at.
const portsPerNode = 5

// reserve asks the kernel for free ports.
func (b *planner) reserve() error {
	n := len(b.p.zones)*b.o.VMsPerZone*portsPerNode + 6
	for _, pool := range b.p.pools {
		n += pool.targets
	}
	listeners := make([]net.Listener, 0, n)
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(b.o.Host, "0"))
		if err != nil {
			return fmt.Errorf("plan: no free port at %s: %w", b.o.Host, err)
		}
		listeners = append(listeners, l)
		b.addresses = append(b.addresses, l.Addr().String())
	}
	return nil
}

func (b *planner) address() string {
	a := b.addresses[0]
	b.addresses = b.addresses[1:]
	return a
}

func (b *planner) planPlatform() {
	versions := map[string]int64{}
	for _, pool := range b.p.pools {
		if pool.row.Kind == config.PoolEngines {
			versions[pool.row.Model] = initialVersion
		}
	}
	b.d.Platform = PlatformSettings{
		AdminAddress: b.address(), LogAddress: b.address(), StoreAddress: b.address(), VMListAddress: b.address(),
		Log:   logservice.Options{RetentionMs: b.o.RetentionMs, AppendsPerSecond: b.o.AppendsPerSecond},
		Store: weightstore.Options{FetchMs: b.o.FetchMs, LoadRate: b.o.LoadRate, Versions: versions},
		VMs:   vmlist.Options{LagMs: b.o.VMListLagMs},
	}
	b.d.Engines.AdminAddress = b.address()
	b.d.Services.AdminAddress = b.address()
}

// planPools gives each pool its targets, spread over the zones in turn.
func (b *planner) planPools() {
	for _, pool := range b.p.pools {
		row := pool.row
		for i := range pool.targets {
			az := b.p.zones[i%len(b.p.zones)]
			t := config.Target{Name: fmt.Sprintf("%s-%d", row.Name, i+1), Address: b.address(), AvailabilityZone: az}
			row.Targets = append(row.Targets, t)
			b.d.Platform.VMs.VMs = append(b.d.Platform.VMs.VMs, trial.VM{Name: t.Name, Address: t.Address, AvailabilityZone: az, Role: trial.VMRoleTarget})
			b.planTarget(pool, t)
		}
		if row.Kind == config.PoolEngines {
			row.FencingChecked = !b.o.FencingUnchecked
		}
		b.d.Tables.Pools = append(b.d.Tables.Pools, row)
	}
}

func (b *planner) planTarget(pool poolPlan, t config.Target) {
	if pool.row.Kind == config.PoolServices {
		b.d.Services.Services = append(b.d.Services.Services, ServiceSettings{
			Address: t.Address, Options: service.Options{Name: t.Name, WorkMs: pool.workMs}})
		return
	}
	b.d.Engines.Engines = append(b.d.Engines.Engines, EngineSettings{Address: t.Address, Options: engine.Options{
		Name: t.Name, Model: pool.row.Model, Version: initialVersion, StoreURL: "http://" + b.d.Platform.StoreAddress,
		FencingChecked: !b.o.FencingUnchecked, RestartMs: b.o.RestartMs, Rates: b.o.Rates,
	}})
}

func (b *planner) planNodes() {
	first := b.o.FirstGate
	for i := range b.o.VMsPerZone {
		for _, az := range b.p.zones {
			node := settings.Node{
				ID: fmt.Sprintf("%s-%d", az, i+1), Customer: b.p.customer, AvailabilityZone: az,
				StewardAddress: b.address(), GateAddress: b.address(), GateHTTP: b.address(), Debug: b.o.Debug,
			}
			if first != "" {
				node.GateHTTP, first = first, ""
			}
			b.addNode(node)
		}
	}
	seeds := []string{}
	for _, s := range b.d.Stewards[:min(len(b.d.Stewards), len(b.p.zones))] {
		seeds = append(seeds, s.StewardAddress)
	}
	for i := range b.d.Stewards {
		b.d.Stewards[i].Seeds = seeds
	}
}

func (b *planner) addNode(node settings.Node) {
	b.d.Gates = append(b.d.Gates, settings.Gate{
		Node: node, DebugAddress: b.address(), BalancerLagMs: b.o.BalancerLagMs, DrainTimeoutMs: b.o.DrainTimeoutMs,
		MaxBodyBytes: DefaultMaxBodyBytes, OperatorTokenSHA256: sha256Hex(OperatorToken), Policy: b.o.Policy,
	})
	pl := b.d.Platform
	b.d.Stewards = append(b.d.Stewards, settings.Steward{
		Node: node, DebugAddress: b.address(), LogURL: "http://" + pl.LogAddress, StoreURL: "http://" + pl.StoreAddress,
		VMListURL: "http://" + pl.VMListAddress, OperatorTokenSHA256: sha256Hex(OperatorToken), LeaseTTLMs: b.o.LeaseTTLMs, Policy: b.o.Policy,
	})
	b.d.Platform.VMs.VMs = append(b.d.Platform.VMs.VMs, trial.VM{
		Name: node.ID, Address: node.StewardAddress, AvailabilityZone: node.AvailabilityZone, Role: trial.VMRoleEntry})
}

func (b *planner) planRoutes() {
	for _, r := range b.p.routes {
		r.Customer = b.p.customer
		for _, c := range b.p.callers[r.Name] {
			r.Callers = append(r.Callers, config.Caller{Name: c.name, TokenSHA256: sha256Hex(CallerToken(c.name)), Weight: c.weight})
		}
		b.d.Tables.Routes = append(b.d.Tables.Routes, r)
	}
}
