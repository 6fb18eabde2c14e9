// Package secure protects the connections between instances and the administration API
// with mutual TLS 1.3: both sides present a certificate signed by the fleet's
// authority. Certificates come from files, which can be reloaded at run time; open
// connections keep the certificates with which they were opened.
package secure
