package defaults

import "time"

// Positive replaces a value that is not above 0 by its default.
func Positive[T int | time.Duration](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}
