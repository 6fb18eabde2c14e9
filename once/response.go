package once

import "net/http"

// recordBytes is what a recorded answer is charged for besides its content:
// record, map entry and place in the queue.
const recordBytes = 256

// Response is a target's complete answer. It is not changed once recorded.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// size returns the memory that the recorded answer is charged for, in bytes.
func (a *Response) size() int {
	size := recordBytes + len(a.Body)
	for name, values := range a.Header {
		size += len(name) + 16
		for _, value := range values {
			size += len(value) + 16
		}
	}
	return size
}
