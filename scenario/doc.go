// Package scenario holds scripted scenarios against the real programs: testdata/*.txtar, run by its
// tests. README.md lists the commands of the scripts.
package scenario
