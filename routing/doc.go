// Package routing matches requests to routes.
//
// A Matcher is built from one version of the tables and is immutable, so it may be
// used by several goroutines without locks. For a new version of the tables a new
// Matcher is built.
package routing
