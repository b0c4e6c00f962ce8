// Package settings holds the JSON settings of each process, checked against a JSON Schema.
package settings

// Node holds the settings that the gate and the steward of a VM have in common.
type Node struct {
	// ID is the node ID of the VM; it must be unique in the customer's deployment.
	ID               string `json:"id"`
	Customer         string `json:"customer"`
	AvailabilityZone string `json:"availability_zone"`
	// StewardAddress is the address at which the VM's steward serves JSON-RPC.
	StewardAddress string `json:"steward_address"`
	// GateAddress is the address at which the VM's gate serves JSON-RPC to peers.
	GateAddress string `json:"gate_address"`
	// GateHTTP is the address at which the VM's gate serves HTTP to callers and trainers.
	GateHTTP string `json:"gate_http"`
	// Unreachable lists addresses that the process does not dial, to test network partitions. If Debug
	// is set, POST /debug/unreachable replaces the list at run time.
	Unreachable []string `json:"unreachable,omitempty"`
	// Debug enables test switches under /debug/; leave it unset in production.
	Debug bool `json:"debug,omitempty"`
	// PeerTokenFile is the path of the file with the secret by which stewards and gates of the
	// deployment authenticate to each other.
	PeerTokenFile string `json:"peer_token_file"`
}

// Gate holds the settings of ibisgate.
type Gate struct {
	Node
	// DebugAddress is the address of /debug/vars, /debug/state, /healthz and /readyz.
	DebugAddress string `json:"debug_address"`
	// BalancerLagMs is how long the load balancer may still send requests after /readyz has begun to
	// fail, in milliseconds.
	BalancerLagMs int64 `json:"balancer_lag_ms"`
	// DrainTimeoutMs is the time limit of a planned shutdown, in milliseconds.
	DrainTimeoutMs int64 `json:"drain_timeout_ms"`
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// OperatorTokenSHA256 is the hex SHA-256 of the operators' token, which calls of gate.explain must
	// present. If it is empty, the gate rejects these calls.
	OperatorTokenSHA256 string `json:"operator_token_sha256,omitempty"`
	// Policy selects other policies for experiments; the zero value selects those of the product.
	Policy Policy `json:"policy,omitempty"`
}

// Policy selects baseline policies for experiments. Empty fields select the policies of the product.
type Policy struct {
	// Routing is "", "round-robin" or "least-reported".
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

// Steward holds the settings of ibissteward.
type Steward struct {
	Node
	DebugAddress string `json:"debug_address"`
	// LogURL, StoreURL and VMListURL are the base URLs of the platform's services.
	LogURL    string `json:"log_url"`
	StoreURL  string `json:"store_url"`
	VMListURL string `json:"vm_list_url"`
	// Seeds are addresses of stewards to contact for gossip at start, in addition to the VM list.
	Seeds []string `json:"seeds,omitempty"`
	// OperatorTokenSHA256 is the hex SHA-256 of the operators' token.
	OperatorTokenSHA256 string `json:"operator_token_sha256"`
	// LeaseTTLMs is the time to live of a weight-order lease, in milliseconds.
	LeaseTTLMs int64  `json:"lease_ttl_ms"`
	Policy     Policy `json:"policy,omitempty"`
}
