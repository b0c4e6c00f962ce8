// Package versions moves the engines of a pool to the weight versions that trainers name. One VM at
// a time gives the orders; it answers the load pattern of several trainers that each name a new
// version every few seconds, while steps that still accept the version before go on.
package versions

import "context"

// Mode tells what happens to requests that run during a change of version.
type Mode string

// The modes of an order.
const (
	// Await lets running requests end under the old version first.
	Await Mode = "await"
	// CarryOver continues running requests under the new version.
	CarryOver Mode = "carry-over"
)

// Order asks an engine to run a version.
type Order struct {
	InstanceID, Address string
	Model               string
	Version             int64
	Mode                Mode
	// Holder and FencingToken name who orders, and since which tenure.
	Holder       string
	FencingToken int64
	// ExpectOrders is the number of orders that the engine must have accepted before, so that a late
	// copy of an order changes nothing.
	ExpectOrders int64
}

// Verdict is an engine's answer to an order.
type Verdict string

// The verdicts.
const (
	Accepted Verdict = "accepted"
	Holds    Verdict = "holds"
	Conflict Verdict = "conflict"
	Fenced   Verdict = "fenced"
	Refused  Verdict = "refused"
)

// Report is what an engine says of itself.
type Report struct {
	Versions map[string]int64
	// Loading tells that an order is being carried out.
	Loading bool
	// Orders is the number of orders accepted since the start.
	Orders int64
}

// Engines gives orders to engines and reads their reports.
type Engines interface {
	Order(ctx context.Context, o Order) (Verdict, error)
	Report(ctx context.Context, address, instanceID string) (Report, error)
}
