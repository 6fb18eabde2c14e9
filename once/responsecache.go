package once

import "time"

// storedResponse is a recorded response, which is returned to resends of its request.
type storedResponse struct {
	response    *Response
	fingerprint Fingerprint
	expiry      time.Duration // of the ticket
	size        int
}

// responseCache keeps recorded responses by serial, within a bound in bytes. It
// drops the oldest ones first.
type responseCache struct {
	bySerial map[uint64]storedResponse
	order    []uint64 // serials in the order of recording
	bytes    int
}

// add records a response and drops older ones until all fit into maxBytes. A
// response that is larger than maxBytes by itself is not recorded.
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

// prune drops the oldest responses as long as their tickets expired before a time.
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
