package wire

import (
	"encoding/json"

	"github.com/ibistrail/ibistrail/trial"
)

// MemberStatus is the membership status of a node.
type MemberStatus string

// Membership statuses. At equal incarnation, a later one in this list overrides an earlier one.
const (
	StatusAlive   MemberStatus = "alive"
	StatusSuspect MemberStatus = "suspect"
	StatusDead    MemberStatus = "dead"
	StatusLeft    MemberStatus = "left"
)

// Member is the membership record of a node.
type Member struct {
	Node        Node         `json:"node"`
	Incarnation int64        `json:"inc"`
	Status      MemberStatus `json:"status"`
	// Revision is the log offset of the configuration that the node's gate applies.
	Revision trial.Offset `json:"rev"`
	// GateIncarnation is the incarnation of the VM's gate process, or empty if it does not run.
	GateIncarnation string `json:"gate_inc,omitempty"`
	GateDraining    bool   `json:"gate_draining,omitempty"`
}

// Rumor is a fact that is disseminated by gossip besides membership; package rumor lists the kinds. Of the
// rumors with the same Kind and Key, the one with the largest Seq wins.
type Rumor struct {
	Kind string `json:"kind"`
	Key  string `json:"key"`
	Seq  int64  `json:"seq"`
	// Expires is the time at which the rumor expires, in Unix milliseconds.
	Expires int64           `json:"exp"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// GossipParams pushes the sender's new members and rumors, and digests by which the receiver finds out
// whether the two tables differ.
type GossipParams struct {
	From    string   `json:"from"`
	Members []Member `json:"members"`
	Rumors  []Rumor  `json:"rumors"`
	// MembersHash and RumorsHash are digests of the sender's whole tables. If one differs from the
	// receiver's after the merge, the result has bucket digests of that table.
	MembersHash uint64 `json:"mh"`
	RumorsHash  uint64 `json:"rh"`
	// Revision is the latest configuration revision that the sender has read from the log.
	Revision trial.Offset `json:"rev"`
	// Probe, if set, is the ID of a node that the receiver probes on behalf of the sender.
	Probe string `json:"probe,omitempty"`
	// Sync lists the member buckets with differing digests, whose content both sides exchange.
	Sync []int `json:"sync,omitempty"`
	// RumorSync is the same as Sync for rumors.
	RumorSync []int `json:"rumor_sync,omitempty"`
	// AvailabilityZone is the sender's zone; some rumors are not sent to other zones.
	AvailabilityZone string `json:"az,omitempty"`
}

// GossipResult is the response to GossipParams, with the receiver's new members and rumors.
type GossipResult struct {
	Members  []Member     `json:"members"`
	Rumors   []Rumor      `json:"rumors"`
	Revision trial.Offset `json:"rev"`
	// ProbeOK is true if the node named by Probe answered the receiver.
	ProbeOK bool `json:"probe_ok,omitempty"`
	// Buckets holds the digest of each bucket of the receiver's members, if the member digests differ.
	Buckets []uint64 `json:"buckets,omitempty"`
	// RumorBuckets is the same as Buckets for rumors.
	RumorBuckets []uint64 `json:"rumor_buckets,omitempty"`
}
