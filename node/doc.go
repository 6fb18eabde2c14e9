// Package node runs one load balancer instance on a platform that publishes the
// configuration and the targets in a read-only store.
//
// New opens the sockets; Run serves callers and peers until Stop is called or its
// context ends.
package node
