package node

import (
	"sync"
	"time"
)

// maxLookups bounds the lookups that are remembered. When it is reached, all are forgotten,
// and the next one of each address counts as its first.
const maxLookups = 8192

// callerLookups remembers when addresses last looked up the instances of a host, to tell one
// caller from many behind one address. Where lookups are spread over all instances, it takes
// about as many callers as there are instances before one of these sees two in a row; fewer
// callers are no more load than others, even on few instances. It is safe for concurrent
// use; the zero value is empty.
type callerLookups struct {
	mu   sync.Mutex
	last map[callerLookup]time.Duration
}

type callerLookup struct{ address, host string }

// isShared reports whether several callers use an address, and counts a lookup at the time
// now. One caller looks up a host again when its list has expired, after validity.
func (c *callerLookups) isShared(now time.Duration, lookup callerLookup, validity time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil || len(c.last) >= maxLookups {
		c.last = make(map[callerLookup]time.Duration)
	}
	last, known := c.last[lookup]
	c.last[lookup] = now
	return known && now-last < validity/2
}
