package wire

// MethodReachDuties asks an entry VM whether it reaches the platform's API for duties: ReachDutiesParams -> ReachDutiesResult. VMs of earlier
// builds answer with an error.
const MethodReachDuties = "entry.reach_duties"

// ReachDutiesParams has no fields yet.
type ReachDutiesParams struct{}

// ReachDutiesResult tells whether the VM could open a connection to the API.
type ReachDutiesResult struct {
	Reached bool `json:"reached"`
}
