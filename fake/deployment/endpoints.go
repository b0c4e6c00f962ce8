package deployment

// Endpoints are the addresses and tokens of a deployment, written to endpoints.json.
type Endpoints struct {
	Customer string    `json:"customer"`
	Gates    []Gate    `json:"gates"`
	Stewards []Steward `json:"stewards"`
	// Log, Store and VMs are the base URLs of the platform's stand-ins.
	Log   string `json:"log"`
	Store string `json:"store"`
	VMs   string `json:"vms"`
	// PlatformAdmin, EnginesAdmin and ServicesAdmin are the base URLs of the admin servers, which serve /NAME/faults
	// and /NAME/journal of each stand-in; the platform's stand-ins are named log, store and vms.
	PlatformAdmin string   `json:"platform_admin"`
	EnginesAdmin  string   `json:"engines_admin"`
	ServicesAdmin string   `json:"services_admin"`
	Engines       []Target `json:"engines"`
	Services      []Target `json:"services"`
	Tokens        Tokens   `json:"tokens"`
}

// Gate holds the addresses of a gate.
type Gate struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"az"`
	// HTTP and Debug are base URLs; RPC is a host:port.
	HTTP  string `json:"http"`
	Debug string `json:"debug"`
	RPC   string `json:"rpc"`
}

// Steward holds the addresses of a steward: RPC is a host:port, Debug a base URL.
type Steward struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"az"`
	RPC              string `json:"rpc"`
	Debug            string `json:"debug"`
}

// Target is an engine or a service; Address is a host:port.
type Target struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"az"`
	Pool             string `json:"pool"`
}

// Tokens are the authentication tokens of operators and, by name, of callers and trainers.
type Tokens struct {
	Operator string            `json:"operator"`
	Callers  map[string]string `json:"callers"`
}

func (p *planner) planEndpoints() {
	d := p.deployment
	e := Endpoints{
		Customer: d.Customer, Log: "http://" + d.Platform.LogAddress, Store: "http://" + d.Platform.StoreAddress,
		VMs: "http://" + d.Platform.VMListAddress, PlatformAdmin: "http://" + d.Platform.AdminAddress,
		EnginesAdmin: "http://" + d.Engines.AdminAddress, ServicesAdmin: "http://" + d.Services.AdminAddress,
		Tokens: Tokens{Operator: OperatorToken, Callers: map[string]string{}},
	}
	for _, g := range d.Gates {
		e.Gates = append(e.Gates, Gate{ID: g.ID, AvailabilityZone: g.AvailabilityZone, HTTP: "http://" + g.GateHTTP, Debug: "http://" + g.DebugAddress, RPC: g.GateAddress})
	}
	for _, s := range d.Stewards {
		e.Stewards = append(e.Stewards, Steward{ID: s.ID, AvailabilityZone: s.AvailabilityZone, RPC: s.StewardAddress, Debug: "http://" + s.DebugAddress})
	}
	for _, pool := range d.Tables.Pools {
		for _, t := range pool.Targets {
			target := Target{Name: t.Name, Address: t.Address, AvailabilityZone: t.AvailabilityZone, Pool: pool.Name}
			if pool.Kind == "engines" {
				e.Engines = append(e.Engines, target)
			} else {
				e.Services = append(e.Services, target)
			}
		}
	}
	for _, callers := range p.template.callers {
		for _, c := range callers {
			e.Tokens.Callers[c.name] = CallerToken(c.name)
		}
	}
	d.Endpoints = e
}
