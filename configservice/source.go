package configservice

import "context"

// Value is one published value with its revision tag.
type Value struct {
	Data []byte
	// Tag identifies the revision to Watch. Opaque; carries no order.
	Tag string
}

// Source reads and watches one published value. Implementations are safe for
// concurrent use.
type Source interface {
	// Read returns the current value.
	Read(ctx context.Context) (Value, error)
	// Watch blocks until the value differs from tag and returns it. It returns
	// ErrUnchanged when the service ended the wait without a change.
	Watch(ctx context.Context, tag string) (Value, error)
}
