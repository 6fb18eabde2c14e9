// Package admission decides how many requests of a pool an instance may have in
// flight, which waiting request is sent next, and which requests are refused early.
//
// Its types are not safe for concurrent use. Nothing here reads a clock, locks or
// starts a goroutine; times are passed in as the time since the instance's start.
package admission
