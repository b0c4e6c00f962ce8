// Package trial defines the published protocols of the trial deployment's external systems, with HTTP clients:
// the log service, the weight store, the list of VMs and the model engines.
package trial
