package gateway

// Locality is where a caller that asks for addresses is.
type Locality struct {
	Region, FailureDomain string
}
