// Package configservice reads what the project's own configuration service
// publishes: the configuration and the list of instances. Nothing is ever written
// to either.
//
// Both are served over HTTP with long polling. A read is a GET, answered with
// status 200, the value and an ETag. A watch is a GET with the query parameter
// wait_ms and the header If-None-Match; it is answered when the value differs
// from that ETag, or with status 304 when the wait is over. Each call counts
// against the service's read rate.
package configservice
