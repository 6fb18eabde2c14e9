package placement

import "time"

// decayingCount counts events, with decay.
type decayingCount struct {
	halfLife time.Duration
	count    float64 // as of at
	at       time.Duration
}

func (c *decayingCount) add(now time.Duration, n int) {
	c.count, c.at = c.recent(now)+float64(n), now
}

func (c *decayingCount) recent(now time.Duration) float64 {
	return c.count * decay(max(0, now-c.at), c.halfLife)
}
