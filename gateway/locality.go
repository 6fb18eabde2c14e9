package gateway

// Locality is the location of a caller that resolves instance addresses.
type Locality struct {
	Region, FailureDomain string
}
