// Package hostile tests ibisentry against clients that don't keep to the protocol or to the limits. Each test runs one process of its own,
// and the tests run one at a time: make hostile.
package hostile
