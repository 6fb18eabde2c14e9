// Package harness runs a fleet of package testbed under load, carries out planned
// steps such as edits, drains and faults, and collects the evidence that package
// checker checks.
package harness
