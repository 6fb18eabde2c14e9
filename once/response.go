package once

import "net/http"

// recordBytes is the memory counted for a recorded response in addition to its
// content: the record, its map entry and its place in the queue.
const recordBytes = 256

// Response is the complete HTTP response of a target. It must not be modified
// after it was recorded.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// size returns the memory counted for the recorded response, in bytes.
func (r *Response) size() int {
	size := recordBytes + len(r.Body)
	for name, values := range r.Header {
		size += len(name) + 16
		for _, value := range values {
			size += len(value) + 16
		}
	}
	return size
}
