// Package edgecli is the command line of the instance on the users' platform.
package edgecli
