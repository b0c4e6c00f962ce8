package wire

import (
	"encoding/json"

	"github.com/ibistrail/ibistrail/trial"
)

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
	Revision trial.Offset `json:"rev"`
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
	Revision trial.Offset `json:"rev"`
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
	Members  []Member     `json:"members"`
	Rumors   []Rumor      `json:"rumors"`
	Revision trial.Offset `json:"rev"`
	// ProbeOK answers Probe.
	ProbeOK bool `json:"probe_ok,omitempty"`
	// Buckets are digests of the answering node's table in parts, sent when the hashes differ.
	Buckets []uint64 `json:"buckets,omitempty"`
	// RumorBuckets is Buckets for rumors.
	RumorBuckets []uint64 `json:"rumor_buckets,omitempty"`
}
