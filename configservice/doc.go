// Package configservice reads the values that the project's own configuration
// service publishes: the configuration and the list of instances. It never
// writes to the service.
//
// Both values are served over HTTP with long polling. A read is a GET; the
// response has the status 200, the value and an ETag. A watch is a GET with the
// query parameter wait_ms and the header If-None-Match. The service responds as
// soon as the value differs from that ETag, or with the status 304 after wait_ms
// milliseconds. Each call counts against the service's read rate limit.
package configservice
