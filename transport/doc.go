// Package transport sends attempts to targets over HTTP/1.1.
//
// It sends each attempt at most once. net/http's Transport resends some requests
// when a connection breaks, so this package manages its own connections instead. A
// connection is reused only after a complete exchange: the request was written,
// the response was read to its end without extra bytes, and the target did not
// request to close the connection.
package transport
