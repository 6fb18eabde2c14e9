// Package testbed runs a fleet of instances, fake targets and a fake platform in one
// process, over loopback connections. Tests, the demo and the bench use it.
package testbed
