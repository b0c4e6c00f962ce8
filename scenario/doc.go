// Package scenario holds end-to-end tests: its tests build the programs, deploy them as processes on
// loopback and run the scripts of testdata/*.txtar against them. README.md lists the script commands.
package scenario
