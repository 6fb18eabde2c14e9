// Package faults contains tests that inject faults, alone and in combination, into
// whole fleets under load, and check every invariant against the records of callers,
// targets and instances.
//
// To run random schedules of several faults:
//
//	go test -run RandomSchedules ./internal/faults -faults.schedules 100 -faults.seed 1
package faults
