// Package secure protects the links between instances and the administration
// API: both ends show a certificate that the fleet's authority has signed, and
// the links are encrypted (TLS 1.3). Certificates come from files, which can be
// read again while connections are open; open connections stay as they are.
package secure
