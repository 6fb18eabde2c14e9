// Package cli implements the command lines of dogwoodrouted, the daemon, and of
// dogwoodroute, the operators' tool.
package cli
