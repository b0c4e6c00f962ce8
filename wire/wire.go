// Package wire defines the JSON-RPC 2.0 methods and messages between the system's own processes: gates,
// stewards and ibisctl. Package rpc transports them.
package wire

// Methods that a steward serves to the gate of its VM and to other stewards.
const (
	// MethodWatch long-polls the state: WatchParams -> State.
	MethodWatch = "steward.watch"
	// MethodClaim claims an idempotency key: ClaimParams -> ClaimResult.
	MethodClaim = "steward.claim"
	// MethodReport reports a gate's observations of targets: ReportParams -> Empty.
	MethodReport = "steward.report"
	// MethodGossip exchanges membership and digests: GossipParams -> GossipResult.
	MethodGossip = "steward.gossip"
	// MethodFetch reads log records through a peer: FetchParams -> FetchResult.
	MethodFetch = "steward.fetch"
	// MethodRelayClaims claims keys through the zone's relay: RelayClaimsParams -> RelayClaimsResult.
	MethodRelayClaims = "steward.relay_claims"
	// MethodStatus returns the steward's own membership record: Empty -> Member.
	MethodStatus = "steward.status"
)

// Methods that a steward serves to ibisctl, with the operator's token.
const (
	// MethodApply publishes a change and waits until it is read back from the log: ApplyParams -> ApplyResult.
	MethodApply = "operator.apply"
	// MethodGet returns the current configuration tables: OperatorParams -> GetResult.
	MethodGet = "operator.get"
	// MethodHistory returns decided changes: HistoryParams -> HistoryResult.
	MethodHistory = "operator.history"
	// MethodNodes returns each known node with its revision: OperatorParams -> NodesResult.
	MethodNodes = "operator.nodes"
)

// Methods that a gate serves to other gates.
const (
	// MethodStepPull forwards a trainer's pull to the step's owner: StepPullParams -> api.PullResponse.
	MethodStepPull = "gate.step_pull"
	// MethodHandover transfers a step to a peer: HandoverParams -> HandoverResult.
	MethodHandover = "gate.handover"
	// MethodKeyOutcome returns the outcome of a ticket or claim from its holder: KeyOutcomeParams -> KeyOutcomeResult.
	MethodKeyOutcome = "gate.key_outcome"
	// MethodExplain returns the events that a gate recorded of a request: ExplainParams -> ExplainResult.
	MethodExplain = "gate.explain"
	// MethodQuarantine notifies a peer of suspect and quarantined requests: QuarantineNotice -> Empty.
	MethodQuarantine = "gate.quarantine"
	// MethodTrial asks the arbiter of a pool for permission to run a suspect alone: TrialParams -> TrialResult.
	MethodTrial = "gate.trial"
)

// Error codes of JSON-RPC error responses.
const (
	CodeUnauthorized = -32001
	CodeNotReady     = -32002
	CodeConflict     = -32003
	CodeInvalid      = -32004
	CodeUnavailable  = -32005
	CodeUnknownStep  = -32006
	CodeTooLarge     = -32007
)

// Empty is a message without fields.
type Empty struct{}

// NodeKind is the kind of process of a node.
type NodeKind string

// Kinds of nodes.
const (
	NodeGate    NodeKind = "gate"
	NodeSteward NodeKind = "steward"
)

// Node is one process of the system. ID is unique per VM and stable over restarts; Incarnation
// grows with each start and each refuted suspicion.
type Node struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"az"`
	// StewardAddress and GateAddress are the JSON-RPC addresses of the VM's two processes.
	StewardAddress string `json:"steward_address"`
	GateAddress    string `json:"gate_address"`
	// GateHTTP is the HTTP address for callers and trainers.
	GateHTTP string `json:"gate_http"`
}
