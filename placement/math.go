package placement

import (
	"math"
	"time"
)

// decay returns the exponential decay factor after the elapsed time.
func decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

func scale(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }
