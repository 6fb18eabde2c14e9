package configservice

import "context"

// Value is one published value with its revision tag.
type Value struct {
	Data []byte
	// Tag identifies the revision, for Watch. It is opaque and has no order.
	Tag string
}

// Source reads and watches one published value. Implementations are safe for
// concurrent use.
type Source interface {
	// Read returns the current value without waiting.
	Read(ctx context.Context) (Value, error)
	// Watch blocks until the revision of the value differs from tag and returns the
	// value. It returns ErrUnchanged if the service ended the wait without a change.
	Watch(ctx context.Context, tag string) (Value, error)
}
