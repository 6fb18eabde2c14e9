// Package demo runs a small fleet in one process: targets, instances and callers
// that communicate over loopback, with configuration changes, drains, faults and a
// planned stop under load. It then checks each invariant.
package demo
