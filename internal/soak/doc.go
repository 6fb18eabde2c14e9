// Package soak runs real instances as separate processes on one machine, injects
// faults from outside and checks what callers and targets see.
//
// Callers, targets and the store are stand-ins in this process. Every connection
// from a caller to an instance, and from an instance to a target or the store,
// passes a loopback proxy (link) that delays, resets, silences or cuts it one
// way. Processes are stopped, paused, killed and restarted by signals. Links
// between instances are direct, since instances tell each other their addresses;
// pauses and kills disturb those. No part of an instance reads the time of day
// or a disk, so neither is disturbed.
//
// A run has two parts: first planned work only, in which no request may be cut,
// then planned work and faults in series that overlap. The seed fixes what
// happens when; the interleaving within the processes differs from run to run.
package soak
