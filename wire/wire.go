// Package wire holds the jsonrpc2 messages between the system's own processes: gates, stewards
// and ibisctl. Package rpc carries them.
package wire

import (
	"encoding/json"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/platform"
)

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

// WatchParams asks for a State with a Seq above Since, waiting up to WaitMs.
type WatchParams struct {
	GateID string `json:"gate_id"`
	// GateIncarnation is the gate's process incarnation, which tickets and claims name.
	GateIncarnation string `json:"gate_incarnation"`
	Since           uint64 `json:"since"`
	WaitMs          int64  `json:"wait_ms"`
	// Revision is the configuration that the gate has in force.
	Revision platform.Offset `json:"revision"`
	// Draining is true while the gate performs a planned stop.
	Draining bool `json:"draining"`
}

// State is what a gate needs to know of the rest of the system. It is sent whole to the gate of
// the same VM, over loopback.
type State struct {
	Seq uint64 `json:"seq"`
	// Ready is false until the steward knows the configuration in force.
	Ready bool `json:"ready"`
	// Revision is the log offset of the configuration; Tables is nil when it equals the watcher's.
	Revision platform.Offset `json:"revision"`
	Tables   *config.Tables  `json:"tables,omitempty"`
	// Draining are targets that get no new work, by address, with the reason.
	Draining map[string]string `json:"draining"`
	// Quarantined are request fingerprints that get a final answer at once.
	Quarantined []Quarantine `json:"quarantined"`
	// Suspects are request fingerprints that were running when an engine died; they run alone
	// until they are cleared.
	Suspects []string `json:"suspects,omitempty"`
	// Versions are the newest known weight versions by model.
	Versions map[string]int64 `json:"versions"`
	// EngineVersions are what engines were last seen to run, by target address.
	EngineVersions map[string]int64 `json:"engine_versions"`
	// Peers are live gates of other VMs.
	Peers []Node `json:"peers"`
}

// Quarantine bars a request by its fingerprint until a time.
type Quarantine struct {
	// Fingerprint is the hex SHA-256 over route and body.
	Fingerprint string    `json:"fingerprint"`
	Until       time.Time `json:"until"`
	// Deaths counts engines that died while running it.
	Deaths int `json:"deaths"`
}

// ReportParams tells what a gate has seen.
type ReportParams struct {
	// Leaving are targets that said themselves that they are draining, by address.
	Leaving []string `json:"leaving"`
	// Deaths are fingerprints that were running, alone or not, when an engine died.
	Deaths []Death `json:"deaths"`
	// Cleared are fingerprints that proved harmless.
	Cleared []string `json:"cleared"`
	// Versions are versions that trainers stated in pulls, by model.
	Versions map[string]int64 `json:"versions"`
}

// Death is one engine death with a suspect on it.
type Death struct {
	Fingerprint string `json:"fingerprint"`
	Target      string `json:"target"`
	Boot        string `json:"boot"`
	Alone       bool   `json:"alone"`
}

// ClaimParams claims a caller's own idempotency key for a gate's incarnation.
type ClaimParams struct {
	// Key is the hex SHA-256 over caller, route and the caller's key.
	Key string `json:"key"`
	// Fingerprint is the hex SHA-256 over the request's method, path and body.
	Fingerprint     string `json:"fingerprint"`
	GateID          string `json:"gate_id"`
	GateIncarnation string `json:"gate_incarnation"`
	// ClaimID is the unique ID of this attempt to claim; it is the log record's ID too.
	ClaimID string `json:"claim_id"`
	// TimeoutMs bounds the wait for the read-back.
	TimeoutMs int64 `json:"timeout_ms"`
}

// ClaimResult tells who holds a key. The caller of MethodClaim may run the request only if
// ClaimID equals its own.
type ClaimResult struct {
	ClaimID         string          `json:"claim_id"`
	Fingerprint     string          `json:"fingerprint"`
	GateID          string          `json:"gate_id"`
	GateIncarnation string          `json:"gate_incarnation"`
	Offset          platform.Offset `json:"offset"`
}

// RelayClaimsParams carries claims of several gates to the zone's relay, which appends them together.
type RelayClaimsParams struct {
	Claims []ClaimParams `json:"claims"`
}

// RelayClaimsResult answers each claim; an entry is nil where the claim was not decided in time.
type RelayClaimsResult struct {
	Results []*ClaimResult `json:"results"`
}

// QuarantineNotice tells peers of requests whose runs ended with dead engines, ahead of the rumor.
type QuarantineNotice struct {
	// Deaths make their fingerprints suspects.
	Deaths []Death `json:"deaths"`
	// Quarantined get a final answer at once.
	Quarantined []Quarantine `json:"quarantined"`
	// Cleared are fingerprints that proved harmless.
	Cleared []string `json:"cleared"`
}

// TrialParams begins or ends the run of a suspect that is alone on its target.
type TrialParams struct {
	Pool        string `json:"pool"`
	Fingerprint string `json:"fingerprint"`
	Target      string `json:"target"`
	GateID      string `json:"gate_id"`
	End         bool   `json:"end,omitempty"`
}

// TrialResult tells whether the trial may begin.
type TrialResult struct {
	Granted bool `json:"granted"`
}

// MemberStatus is the state of a node in membership.
type MemberStatus string

// The statuses, in rising order at equal incarnation.
const (
	StatusAlive   MemberStatus = "alive"
	StatusSuspect MemberStatus = "suspect"
	StatusDead    MemberStatus = "dead"
	StatusLeft    MemberStatus = "left"
)

// Member is what is known of a node.
type Member struct {
	Node        Node         `json:"node"`
	Incarnation int64        `json:"inc"`
	Status      MemberStatus `json:"status"`
	// Revision is the configuration offset that the node's gate has in force.
	Revision platform.Offset `json:"rev"`
	// GateIncarnation is the incarnation of the VM's gate process, if it runs.
	GateIncarnation string `json:"gate_inc,omitempty"`
	GateDraining    bool   `json:"gate_draining,omitempty"`
}

// Rumor is a piece of disseminated state besides membership: a leaving target, a quarantine or a
// version. The larger Seq of one Kind and Key wins.
type Rumor struct {
	Kind string `json:"kind"`
	Key  string `json:"key"`
	Seq  int64  `json:"seq"`
	// Expires is when the rumor is forgotten, in Unix milliseconds.
	Expires int64           `json:"exp"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// GossipParams is one push of news and a digest to ask for what the sender lacks.
type GossipParams struct {
	From    string   `json:"from"`
	Members []Member `json:"members"`
	Rumors  []Rumor  `json:"rumors"`
	// MembersHash and RumorsHash cover all that the sender knows; if they differ from the
	// receiver's after the merge, the receiver answers with a part of its table.
	MembersHash uint64 `json:"mh"`
	RumorsHash  uint64 `json:"rh"`
	// Revision is the newest decided configuration offset that the sender knows.
	Revision platform.Offset `json:"rev"`
	// Probe, if set, asks the receiver to probe that node ID on the sender's behalf.
	Probe string `json:"probe,omitempty"`
	// Sync names the buckets whose content both sides exchange because their digests differ.
	Sync []int `json:"sync,omitempty"`
	// RumorSync is Sync for rumors.
	RumorSync []int `json:"rumor_sync,omitempty"`
	// AvailabilityZone is the sender's, since some rumors stay inside a zone.
	AvailabilityZone string `json:"az,omitempty"`
}

// GossipResult answers GossipParams with news for the sender.
type GossipResult struct {
	Members  []Member        `json:"members"`
	Rumors   []Rumor         `json:"rumors"`
	Revision platform.Offset `json:"rev"`
	// ProbeOK answers Probe.
	ProbeOK bool `json:"probe_ok,omitempty"`
	// Buckets are digests of the answering node's table in parts, sent when the hashes differ.
	Buckets []uint64 `json:"buckets,omitempty"`
	// RumorBuckets is Buckets for rumors.
	RumorBuckets []uint64 `json:"rumor_buckets,omitempty"`
}

// FetchParams reads records of a stream through a peer, which may wait for new ones.
type FetchParams struct {
	Stream string          `json:"stream"`
	From   platform.Offset `json:"from"`
	WaitMs int64           `json:"wait_ms"`
}

// FetchResult carries records that the peer has read from the log, or a snapshot where it no
// longer keeps the records.
type FetchResult struct {
	Records  []platform.Record `json:"records"`
	Snapshot *config.Snapshot  `json:"snapshot,omitempty"`
	Next     platform.Offset   `json:"next"`
	// First is the oldest offset that the log retains; a peer that kept what was asked for sends 0.
	First platform.Offset `json:"first,omitempty"`
	// RetentionMs is how long the log keeps a record, in milliseconds; 0 means for ever.
	RetentionMs int64 `json:"retention_ms"`
	// AgeMs is how long ago the peer last knew that Next was the end of the log, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Lateral is true where the peer's records do not come from the log along its zone's tree but
	// from another peer: it is cut from the log, or the one above it is.
	Lateral bool `json:"lateral,omitempty"`
}

// OperatorParams authenticates an operator.
type OperatorParams struct {
	Token string `json:"token"`
}

// ApplyParams publishes a change.
type ApplyParams struct {
	OperatorParams
	Change    config.Change `json:"change"`
	TimeoutMs int64         `json:"timeout_ms"`
}

// ApplyResult tells how the change was decided at read-back.
type ApplyResult struct {
	Decision config.Decision `json:"decision"`
}

// GetResult is the tables in force.
type GetResult struct {
	Snapshot config.Snapshot `json:"snapshot"`
}

// HistoryParams asks for the last Limit decisions.
type HistoryParams struct {
	OperatorParams
	Limit int `json:"limit"`
}

// HistoryResult carries decisions, the newest last.
type HistoryResult struct {
	Decisions []config.Decision `json:"decisions"`
}

// NodesResult lists the known nodes.
type NodesResult struct {
	// Latest is the newest decided revision that the answering steward knows.
	Latest  platform.Offset `json:"latest"`
	Members []Member        `json:"members"`
}

// StepPullParams forwards a pull.
type StepPullParams struct {
	Route   string          `json:"route"`
	Trainer string          `json:"trainer"`
	StepID  string          `json:"step_id"`
	Pull    api.PullRequest `json:"pull"`
	// Release gives the step up instead; the answer is empty.
	Release bool `json:"release,omitempty"`
}

// HandoverParams gives a step with its undelivered samples to a peer on a planned stop.
type HandoverParams struct {
	Trainer string       `json:"trainer"`
	Spec    api.StepSpec `json:"spec"`
	Samples []api.Sample `json:"samples"`
	// Partials are samples that are not whole yet; the peer goes on from their tokens.
	Partials []api.Sample `json:"partials,omitempty"`
	// RemainingMs is the time left until the step's deadline, in milliseconds.
	RemainingMs int64 `json:"remaining_ms,omitempty"`
}

// HandoverResult tells that the peer runs the step now.
type HandoverResult struct {
	Owner string `json:"owner"`
}

// KeyOutcomeParams names a ticket or a claim.
type KeyOutcomeParams struct {
	// GateIncarnation is the owner; another incarnation knows nothing of the key.
	GateIncarnation string `json:"gate_incarnation"`
	// Burn asks that a key that has not run never will.
	Burn bool `json:"burn,omitempty"`
	// BorrowerID and BorrowerIncarnation, if set, ask for the right to run a claimed key that has not run.
	BorrowerID          string `json:"borrower_id,omitempty"`
	BorrowerIncarnation string `json:"borrower_incarnation,omitempty"`
	Key                 string `json:"key"`
	Fingerprint         string `json:"fingerprint"`
	WaitMs              int64  `json:"wait_ms"`
}

// KeyOutcomeResult carries the answer of a request that its owner ran.
type KeyOutcomeResult struct {
	Known bool `json:"known"`
	Done  bool `json:"done"`
	// Reused is true if the key belongs to a request with another fingerprint.
	Reused bool `json:"reused,omitempty"`
	// ClaimID is set where the asker has become the holder of the claim and may run the request.
	ClaimID string `json:"claim_id,omitempty"`
	// LentTo and LentIncarnation name the holder to ask instead.
	LentTo          string              `json:"lent_to,omitempty"`
	LentIncarnation string              `json:"lent_incarnation,omitempty"`
	Outcome         api.Outcome         `json:"outcome"`
	Status          int                 `json:"status"`
	Header          map[string][]string `json:"header,omitempty"`
	Body            []byte              `json:"body,omitempty"`
}

// ExplainParams names a request by its HeaderRequestID or its step ID.
type ExplainParams struct {
	OperatorParams
	RequestID string `json:"request_id"`
}

// ExplainResult is the recorded events of a request, oldest first.
type ExplainResult struct {
	Gate   string  `json:"gate"`
	Events []Event `json:"events"`
}

// Event is one decision about a request.
type Event struct {
	Time   time.Time `json:"time"`
	Name   string    `json:"name"`
	Detail string    `json:"detail"`
}
