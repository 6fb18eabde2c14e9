// Package wire defines the HTTP headers and paths that callers, instances and
// targets use, and parses and encodes the header values.
package wire
