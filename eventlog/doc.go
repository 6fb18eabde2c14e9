// Package eventlog writes structured log lines without ever blocking the
// caller.
//
// Lines go through a bounded queue to one writing goroutine. Lines of level
// Info and lines above have separate rate limits, so that a flood of ordinary
// lines never displaces those about failures. What was left out is counted and
// reported.
package eventlog
