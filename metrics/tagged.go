package metrics

import "sync"

// maxTagValues limits the values of one tag, so that names from outside the process,
// such as those of routes, cannot exhaust memory.
const maxTagValues = 1024

// otherTagValue is the tag value of all further values.
const otherTagValue = "other"

// tagged holds one metric for each value of a tag.
type tagged[T any] struct {
	make  func(value string) T
	cache sync.Map
	mu    sync.Mutex
	count int
}

func newTagged[T any](make func(string) T) *tagged[T] { return &tagged[T]{make: make} }

// get returns the metric for a value. It takes no lock for values already in the
// cache.
func (t *tagged[T]) get(value string) T {
	if metric, ok := t.cache.Load(value); ok {
		return metric.(T)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count >= maxTagValues {
		value = otherTagValue
	}
	metric, loaded := t.cache.LoadOrStore(value, t.make(value))
	if !loaded {
		t.count++
	}
	return metric.(T)
}
