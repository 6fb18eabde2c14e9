package gateway

// Locality is the location of a caller that resolves instance addresses, and the host of the
// requests that it will send.
type Locality struct {
	Host, Region, FailureDomain string
}
