package gateway

// Locality is the location of a caller that resolves instance addresses, and the host of the
// requests that it will send.
type Locality struct {
	// Caller is the IP address of the caller.
	Caller                      string
	Host, Region, FailureDomain string
}
