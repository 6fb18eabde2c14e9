// Package soak runs real instances as separate processes on one machine, injects
// faults from outside and checks what callers and targets see.
//
// Callers, targets and the store are fakes in this process. Every connection
// from a caller to an instance, and from an instance to a target or the store,
// passes through a loopback proxy that can delay or reset it, or drop its data in
// one or both directions. Processes are stopped, paused, killed and restarted with
// signals. Connections between instances do not pass through a proxy, because
// instances gossip their own addresses; pauses and kills are the faults that
// affect them. Instances read neither the wall clock nor the disk, so faults of
// these are not injected.
//
// A run has two phases: in the first only planned work is done and no request may
// be aborted; in the second planned work and faults come in series that overlap.
// The seed determines the events and their times; the interleaving within the
// processes differs from run to run.
package soak
