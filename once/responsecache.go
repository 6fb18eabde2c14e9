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
func (a *responseCache) add(serial uint64, r storedResponse, maxBytes int) {
	r.size = r.response.size()
	if r.size > maxBytes {
		return
	}
	a.bySerial[serial] = r
	a.order = append(a.order, serial)
	a.bytes += r.size
	for a.bytes > maxBytes {
		a.dropOldest()
	}
}

// prune drops the oldest answers whose tickets expired before a time.
func (a *responseCache) prune(before time.Duration) {
	for len(a.order) > 0 && a.bySerial[a.order[0]].expiry < before {
		a.dropOldest()
	}
}

func (a *responseCache) dropOldest() {
	serial := a.order[0]
	a.order = a.order[1:]
	a.bytes -= a.bySerial[serial].size
	delete(a.bySerial, serial)
}
