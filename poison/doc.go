// Package poison detects requests that crash the targets that run them, and
// bounds the number of targets that each such request can crash.
//
// Requests in flight at a target that crashes become suspects. A suspect runs
// again only as a trial, under leases that the coordinating instances of the
// fleet grant. Detector keeps the records of suspects and blocks of one
// instance, Coordinator the leases that it grants, and Task runs the goroutine
// that owns both. See docs/design/crash-causing-requests.md.
package poison
