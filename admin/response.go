package admin

// Response is what one instance answered, or why it did not.
type Response[T any] struct {
	// Address is the instance's administration address.
	Address string
	// Value is valid when Err is nil.
	Value T
	Err   *InstanceError
}
