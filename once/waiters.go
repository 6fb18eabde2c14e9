package once

import "slices"

// maxWaiters bounds the resends that wait for the end of one run. Further ones
// are refused immediately.
const maxWaiters = 16

// waiters holds a channel for each waiting resend, by the serial of its ticket. The
// channels are closed when the run ends.
type waiters map[uint64][]chan struct{}

// add registers a resend and returns its channel, or nil if too many wait.
func (w waiters) add(serial uint64) chan struct{} {
	if len(w[serial]) >= maxWaiters {
		return nil
	}
	ended := make(chan struct{})
	w[serial] = append(w[serial], ended)
	return ended
}

// remove unregisters a resend that no longer waits.
func (w waiters) remove(serial uint64, ended chan struct{}) {
	w[serial] = slices.DeleteFunc(w[serial], func(c chan struct{}) bool { return c == ended })
	if len(w[serial]) == 0 {
		delete(w, serial)
	}
}

// wake closes the channels of all resends that wait for a run.
func (w waiters) wake(serial uint64) {
	for _, ended := range w[serial] {
		close(ended)
	}
	delete(w, serial)
}
