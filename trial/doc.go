// Package trial holds the published protocols of the outside systems: the log service, the
// weight store, the list of VMs and the model engines of the trial deployment, with their HTTP clients.
package trial
