// Package wire holds the jsonrpc2 messages between the system's own processes: gates, stewards
// and ibisctl. Package rpc carries them.
package wire

// Methods that a steward serves to gates of its VM and to stewards.
const (
	// MethodWatch long-polls the state: WatchParams -> State.
	MethodWatch = "steward.watch"
	// MethodClaim claims an idempotency key: ClaimParams -> ClaimResult.
	MethodClaim = "steward.claim"
	// MethodReport tells what a gate has seen of targets: ReportParams -> Empty.
	MethodReport = "steward.report"
	// MethodGossip exchanges membership and digests: GossipParams -> GossipResult.
	MethodGossip = "steward.gossip"
	// MethodFetch reads log records through a peer: FetchParams -> FetchResult.
	MethodFetch = "steward.fetch"
	// MethodRelayClaims claims keys through the zone's relay: RelayClaimsParams -> RelayClaimsResult.
	MethodRelayClaims = "steward.relay_claims"
	// MethodStatus returns the answering node as a member, with its revision: Empty -> Member.
	MethodStatus = "steward.status"
)

// Methods that a steward serves to ibisctl, with the operator's token.
const (
	// MethodApply publishes a change and waits for its read-back: ApplyParams -> ApplyResult.
	MethodApply = "operator.apply"
	// MethodGet returns the tables in force: OperatorParams -> GetResult.
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
	// MethodHandover gives undelivered samples to a peer: HandoverParams -> HandoverResult.
	MethodHandover = "gate.handover"
	// MethodKeyOutcome asks the owner of a ticket or claim for its outcome: KeyOutcomeParams -> KeyOutcomeResult.
	MethodKeyOutcome = "gate.key_outcome"
	// MethodExplain returns what a gate knows of a request: ExplainParams -> ExplainResult.
	MethodExplain = "gate.explain"
	// MethodQuarantine tells a peer of suspects and quarantined requests at once: QuarantineNotice -> Empty.
	MethodQuarantine = "gate.quarantine"
	// MethodTrial asks the arbiter of a pool for a suspect's run alone: TrialParams -> TrialResult.
	MethodTrial = "gate.trial"
)

// Error codes of jsonrpc2 answers.
const (
	CodeUnauthorized = -32001
	CodeNotReady     = -32002
	CodeConflict     = -32003
	CodeInvalid      = -32004
	CodeUnavailable  = -32005
	CodeUnknownStep  = -32006
	CodeTooLarge     = -32007
)

// Empty is a message without content.
type Empty struct{}

// NodeKind tells which process a node is.
type NodeKind string

// The kinds of nodes.
const (
	NodeGate    NodeKind = "gate"
	NodeSteward NodeKind = "steward"
)

// Node is one process of the system. ID is unique per VM and stable over restarts; Incarnation
// grows with each start and each refuted suspicion.
type Node struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"az"`
	// StewardAddress and GateAddress are the jsonrpc2 addresses of the VM's two processes.
	StewardAddress string `json:"steward_address"`
	GateAddress    string `json:"gate_address"`
	// GateHTTP is the address for callers and trainers.
	GateHTTP string `json:"gate_http"`
}
