// Package load sends the arrivals of replay traces through package caller, at
// their scheduled times, whether or not earlier requests have completed (open-loop
// load), and records the outcome that each caller saw.
package load
