// Package node runs one entry instance on a platform that publishes its
// configuration and targets in a store that can only be read.
//
// New checks the options and opens the sockets; Run serves until Stop or the
// end of its context.
package node
