// Package eventlog writes structured log lines without blocking the caller.
//
// A bounded queue passes the lines to one goroutine that writes them. Lines of level
// Info and below and lines of higher levels have separate rate limits, so that a flood
// of ordinary lines does not displace lines about failures. Dropped lines are counted
// and their number is logged.
package eventlog
