// Package versions updates the engines of a pool to the weight versions that trainers name. One VM at a time sends the
// orders. The package is designed for several trainers that each name a new version every few seconds, while steps that
// accept the previous version continue.
package versions

import "context"

// Mode determines what happens to running requests when an engine changes its version.
type Mode string

// The modes of an order.
const (
	// Await completes running requests under the old version before the change.
	Await Mode = "await"
	// CarryOver continues running requests under the new version.
	CarryOver Mode = "carry-over"
)

// Order tells an engine to load and run a version.
type Order struct {
	InstanceID, Address string
	Model               string
	Version             int64
	Mode                Mode
	// Holder is the VM that sends the order, FencingToken the token of its tenure.
	Holder       string
	FencingToken int64
	// ExpectOrders is the number of orders that the engine must have accepted before this one. An engine rejects an order
	// with another number, so that a delayed duplicate has no effect.
	ExpectOrders int64
}

// Verdict is an engine's response to an order.
type Verdict string

// Verdicts of an engine.
const (
	// Accepted means that the engine executes the order.
	Accepted Verdict = "accepted"
	// Holds means that the engine already has the version.
	Holds Verdict = "holds"
	// Conflict means that the engine is executing another order, or has not accepted ExpectOrders orders.
	Conflict Verdict = "conflict"
	// Fenced means that the fencing token is outdated.
	Fenced Verdict = "fenced"
	// Refused means any other response.
	Refused Verdict = "refused"
)

// Report is an engine's report of its state.
type Report struct {
	Versions map[string]int64
	// Loading is set while the engine executes an order.
	Loading bool
	// Orders is the number of orders that the engine has accepted since it started.
	Orders int64
}

// Engines sends orders to engines and reads their reports.
type Engines interface {
	Order(ctx context.Context, o Order) (Verdict, error)
	Report(ctx context.Context, address, instanceID string) (Report, error)
}
