// Package quarantine blocks requests that crash their targets.
//
// When a target is down after it ran a request, the instance makes a failure
// report for the request. All instances share their failure reports. A request
// with reports from several targets is blocked for some minutes, since it would
// otherwise crash one target after the other. The same holds for the requests
// for one resource together, with a higher limit.
package quarantine
