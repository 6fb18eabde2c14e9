package once

import "time"

// recorded is an answer kept for resends.
type recorded struct {
	answer      *Response
	fingerprint Fingerprint
	expiry      time.Duration
	size        int
}

// answers keeps recorded answers within a bound of bytes and drops the oldest
// first.
type answers struct {
	bySerial map[uint64]recorded
	order    []uint64 // serials in the order of recording
	bytes    int
}

// add records an answer and drops older ones down to maxBytes.
func (a *answers) add(serial uint64, r recorded, maxBytes int) {
	r.size = r.answer.size()
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
func (a *answers) prune(before time.Duration) {
	for len(a.order) > 0 && a.bySerial[a.order[0]].expiry < before {
		a.dropOldest()
	}
}

func (a *answers) dropOldest() {
	serial := a.order[0]
	a.order = a.order[1:]
	a.bytes -= a.bySerial[serial].size
	delete(a.bySerial, serial)
}
