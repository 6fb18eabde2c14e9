package gateway

// Origin is where a caller that asks for addresses is.
type Origin struct {
	Region, FailureDomain string
}
