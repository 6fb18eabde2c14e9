// Package quarantine blocks requests that crash their targets.
//
// An instance that finds a target down after it ran a request makes a failure
// report for the request. All instances share their failure reports. A request
// with reports from several targets is blocked for some minutes, since it would
// otherwise crash one target after the other.
package quarantine
