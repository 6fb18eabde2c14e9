// Package entry is the HTTP interface for callers. It returns the instances to
// use, issues tickets, and handles requests: it matches a route, reads the body,
// dispatches attempts to targets, and writes the response.
//
// Each request has one handler goroutine, which reads from and writes to the
// caller and starts a goroutine for each attempt. The dispatch task of the
// request's pool decides what to do. The caller receives either the whole
// response of one target or a refusal. If a response that has already started
// cannot be completed, the caller's connection is aborted.
package entry
