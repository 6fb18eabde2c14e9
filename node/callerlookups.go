package node

import (
	"sync"
	"time"
)

// maxLookupAddresses bounds the addresses that are remembered. When it is reached, all are
// forgotten, and the next lookup of each counts as its first.
const maxLookupAddresses = 8192

// callerLookups remembers when addresses last looked up instances, to tell one caller from
// many behind one address. It is safe for concurrent use; the zero value is empty.
type callerLookups struct {
	mu   sync.Mutex
	last map[string]time.Duration
}

// isShared reports whether several callers use an address, and counts a lookup of it at the
// time now. One caller looks up again when its list has expired, after validity.
func (c *callerLookups) isShared(now time.Duration, address string, validity time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil || len(c.last) >= maxLookupAddresses {
		c.last = make(map[string]time.Duration)
	}
	last, known := c.last[address]
	c.last[address] = now
	return known && now-last < validity/2
}
