// Package settings holds the JSON settings of each process, checked against a JSON Schema.
package settings

// Node are the settings that a gate and a steward of one VM share.
type Node struct {
	// ID names the VM's node; it must be unique in the customer's deployment.
	ID               string `json:"id"`
	Customer         string `json:"customer"`
	AvailabilityZone string `json:"availability_zone"`
	// StewardAddress is where the VM's steward serves jsonrpc2.
	StewardAddress string `json:"steward_address"`
	// GateAddress is where the VM's gate serves jsonrpc2 to peers.
	GateAddress string `json:"gate_address"`
	// GateHTTP is where the VM's gate serves callers and trainers.
	GateHTTP string `json:"gate_http"`
	// Unreachable lists addresses that the process' dialers refuse, to test network partitions;
	// POST /debug/unreachable replaces it while it runs if Debug is set.
	Unreachable []string `json:"unreachable,omitempty"`
	// Debug enables test switches under /debug/; leave it unset in production.
	Debug bool `json:"debug,omitempty"`
	// PeerTokenFile holds the secret that stewards and gates of the deployment show each other.
	PeerTokenFile string `json:"peer_token_file"`
}

// Gate are the settings of ibisgate.
type Gate struct {
	Node
	// DebugAddress serves /debug/vars, /debug/state, /healthz and /readyz.
	DebugAddress string `json:"debug_address"`
	// BalancerLagMs is how long the balancer may still send requests after /readyz fails.
	BalancerLagMs int64 `json:"balancer_lag_ms"`
	// DrainTimeoutMs bounds a planned stop, in milliseconds.
	DrainTimeoutMs int64 `json:"drain_timeout_ms"`
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// OperatorTokenSHA256 is the hex SHA-256 of the operators' token, which gate.explain needs; if
	// it is empty, the gate explains nothing.
	OperatorTokenSHA256 string `json:"operator_token_sha256,omitempty"`
	// Policy overrides decisions for experiments; empty means the product's own.
	Policy Policy `json:"policy,omitempty"`
}

// Policy selects baselines for experiments. The zero value is the product's own policy.
type Policy struct {
	// Routing is "" (the product's), "round-robin" or "least-reported".
	Routing string `json:"routing,omitempty"`
	// Admission is "" or "off".
	Admission string `json:"admission,omitempty"`
	// Hedging is "" or "off".
	Hedging string `json:"hedging,omitempty"`
	// Quarantine is "" or "off".
	Quarantine string `json:"quarantine,omitempty"`
	// Waves is "" or "all-at-once" (steward).
	Waves string `json:"waves,omitempty"`
}

// Steward are the settings of ibissteward.
type Steward struct {
	Node
	DebugAddress string `json:"debug_address"`
	// LogURL, StoreURL and VMListURL are the platform's services.
	LogURL    string `json:"log_url"`
	StoreURL  string `json:"store_url"`
	VMListURL string `json:"vm_list_url"`
	// Seeds are steward addresses to gossip with at start, besides those of the VM list.
	Seeds []string `json:"seeds,omitempty"`
	// OperatorTokenSHA256 is the hex SHA-256 of the operators' token.
	OperatorTokenSHA256 string `json:"operator_token_sha256"`
	// LeaseTTLMs is the time to live of a weight-order lease.
	LeaseTTLMs int64  `json:"lease_ttl_ms"`
	Policy     Policy `json:"policy,omitempty"`
}
