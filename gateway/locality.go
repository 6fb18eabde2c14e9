package gateway

// Locality is the location of a caller that resolves instance addresses.
type Locality struct {
	// Caller is the IP address of the caller.
	Caller                string
	Region, FailureDomain string
}
