package fleet

// VM is another entry VM, or this one, as it announced itself.
type VM struct {
	Name             string
	AvailabilityZone string
	// RPCAddress is where the VM serves the calls of other VMs; "" if it serves none.
	RPCAddress string
	// RelayAddress is where the VM passes on the calls of other VMs; "" if it passes none on.
	RelayAddress string
	// Small is set if the VM has little processing power.
	Small bool
}
