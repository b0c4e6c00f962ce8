package deployment

// Endpoints are the addresses and tokens of a running deployment, as endpoints.json.
type Endpoints struct {
	Customer string    `json:"customer"`
	Gates    []Gate    `json:"gates"`
	Stewards []Steward `json:"stewards"`
	// Log, Store and VMs are the base URLs of the platform's stand-ins.
	Log   string `json:"log"`
	Store string `json:"store"`
	VMs   string `json:"vms"`
	// PlatformAdmin, EnginesAdmin and ServicesAdmin are base URLs of the fault switches: /NAME/faults,
	// /NAME/journal; the platform's names are log, store and vms.
	PlatformAdmin string   `json:"platform_admin"`
	EnginesAdmin  string   `json:"engines_admin"`
	ServicesAdmin string   `json:"services_admin"`
	Engines       []Target `json:"engines"`
	Services      []Target `json:"services"`
	Tokens        Tokens   `json:"tokens"`
}

// Gate is a gate's addresses.
type Gate struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"az"`
	// HTTP and Debug are base URLs; RPC is host:port.
	HTTP  string `json:"http"`
	Debug string `json:"debug"`
	RPC   string `json:"rpc"`
}

// Steward is a steward's addresses.
type Steward struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"az"`
	RPC              string `json:"rpc"`
	Debug            string `json:"debug"`
}

// Target is the address, host:port, of an engine or a service.
type Target struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"az"`
	Pool             string `json:"pool"`
}

// Tokens are the secrets of operators, callers and trainers.
type Tokens struct {
	Operator string            `json:"operator"`
	Callers  map[string]string `json:"callers"`
}

func (b *planner) planEndpoints() {
	d := b.d
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
	for _, p := range d.Tables.Pools {
		for _, t := range p.Targets {
			target := Target{Name: t.Name, Address: t.Address, AvailabilityZone: t.AvailabilityZone, Pool: p.Name}
			if p.Kind == "engines" {
				e.Engines = append(e.Engines, target)
			} else {
				e.Services = append(e.Services, target)
			}
		}
	}
	for _, callers := range b.p.callers {
		for _, c := range callers {
			e.Tokens.Callers[c.name] = CallerToken(c.name)
		}
	}
	d.Endpoints = e
}
