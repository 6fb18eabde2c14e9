package defaults

import "time"

// Positive sets *value to its default if it is 0 or negative.
func Positive[T int | time.Duration](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}
