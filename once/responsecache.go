package once

import "time"

// storedResponse is an answer kept for resends.
type storedResponse struct {
	response    *Response
	fingerprint Fingerprint
	expiry      time.Duration
	size        int
}

// responseCache keeps recorded responseCache within a bound of bytes and drops the oldest
// first.
type responseCache struct {
	bySerial map[uint64]storedResponse
	order    []uint64 // serials in the order of recording
	bytes    int
}

// add records an answer and drops older ones down to maxBytes.
func (c *responseCache) add(serial uint64, r storedResponse, maxBytes int) {
	r.size = r.response.size()
	if r.size > maxBytes {
		return
	}
	c.bySerial[serial] = r
	c.order = append(c.order, serial)
	c.bytes += r.size
	for c.bytes > maxBytes {
		c.dropOldest()
	}
}

// prune drops the oldest answers whose tickets expired before a time.
func (c *responseCache) prune(before time.Duration) {
	for len(c.order) > 0 && c.bySerial[c.order[0]].expiry < before {
		c.dropOldest()
	}
}

func (c *responseCache) dropOldest() {
	serial := c.order[0]
	c.order = c.order[1:]
	c.bytes -= c.bySerial[serial].size
	delete(c.bySerial, serial)
}
