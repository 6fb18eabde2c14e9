package admin

// Response is the response of one instance, or the error of the call.
type Response[T any] struct {
	// Address is the instance's administration address.
	Address string
	// Value is only valid if Err is nil.
	Value T
	Err   *InstanceError
}
