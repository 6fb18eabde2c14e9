// Package dogwoodroute runs one entry instance of the load balancer.
//
// An instance serves callers over HTTP, follows the routes and pools that the
// configuration service publishes, and forwards requests to targets. New creates
// an instance, Run serves until its context ends.
package dogwoodroute
