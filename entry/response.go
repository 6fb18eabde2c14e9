package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// buffers holds answers of unknown length and the pieces of streamed ones.
var buffers = sync.Pool{New: func() any { return new([BufferedResponseBytes]byte) }}

// accept passes an attempt's answer to the caller. It reports whether the
// request is over.
func (e *exchange) accept(id dispatch.AttemptID) bool {
	current := e.attempts[id]
	if current == nil || current.response == nil {
		return false // ended in the meantime; the task follows with another action
	}
	for other := range e.attempts {
		if other != id {
			e.endAttempt(other, balancer.OutcomeCanceled)
		}
	}
	// While the target's bytes are awaited, nothing else notices a caller that
	// went away.
	stop := context.AfterFunc(e.request.Context(), current.cancel)
	defer stop()
	buffer, put := e.responseBuffer(current.response.ContentLength)
	defer put()
	n, err := io.ReadFull(current.response.Body, buffer)
	switch {
	case err == io.EOF, err == io.ErrUnexpectedEOF: // from ReadFull; an answer that was cut gives a *transport.Error
		e.writeBuffered(id, current.response, buffer[:n])
	case err != nil && e.request.Context().Err() != nil:
		e.observeCallerGone()
		e.endAttempt(id, balancer.OutcomeCanceled)
	case err != nil:
		e.endAttempt(id, balancer.OutcomeTruncated)
		e.refuse(&refusal.Refusal{Kind: refusal.AttemptFailed, Execution: refusal.MayHaveRun,
			Reason: "the target's answer ended early"})
	default:
		e.writeStreamed(id, current.response, buffer)
	}
	return true
}

// responseBuffer returns room for an answer of the given length, -1 if unknown, and the
// function that gives it back. An answer that fits leaves one byte of room, so
// that its end is seen.
func (e *exchange) responseBuffer(length int64) ([]byte, func()) {
	nothing := func() {}
	if length >= 0 && length < BufferedResponseBytes && e.memory.grow(length+1) {
		return make([]byte, length+1), nothing // released with the request
	}
	if e.memory.grow(BufferedResponseBytes) {
		room := buffers.Get().(*[BufferedResponseBytes]byte)
		return room[:], func() { buffers.Put(room) }
	}
	// Without memory for a whole answer, the slot is held while the caller reads.
	return make([]byte, fallbackBufferBytes), nothing
}

// fallbackBufferBytes is the piece of an answer that is read before the first write
// when the memory bound is reached.
const fallbackBufferBytes = 4 << 10

// writeBuffered frees the target's slot and then writes the whole answer.
func (e *exchange) writeBuffered(id dispatch.AttemptID, r *http.Response, body []byte) {
	e.endAttempt(id, balancer.OutcomeOK)
	header := e.writer.Header()
	copyResponseHeader(header, r.Header)
	switch {
	case closeDelimited(r):
		header["Transfer-Encoding"] = identityEncoding
	case r.ContentLength < 0 && len(body) > 0:
		header["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	if e.ticket != "" {
		e.recordResponse(r.StatusCode, header, body)
	}
	e.server.beginResponse(e.writer)
	e.writer.WriteHeader(r.StatusCode)
	e.observeAnswered(r.StatusCode)
	if len(body) > 0 {
		_, _ = e.writer.Write(body) // a caller that went away
	}
}

// identityEncoding makes net/http end an answer by closing the connection.
var identityEncoding = []string{"identity"}

// closeDelimited reports whether the target marked the end of the answer only by closing
// the connection. The caller gets the same form, since the end cannot be told
// from a cut.
func closeDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && r.Close && len(r.TransferEncoding) == 0
}

// writeStreamed writes an answer piece by piece. When it ends early the
// caller's connection is aborted, so that it cannot look whole.
func (e *exchange) writeStreamed(id dispatch.AttemptID, r *http.Response, buffer []byte) {
	header := e.writer.Header()
	copyResponseHeader(header, r.Header)
	if closeDelimited(r) {
		header["Transfer-Encoding"] = identityEncoding
	}
	e.server.beginResponse(e.writer)
	e.writer.WriteHeader(r.StatusCode)
	piece := buffer
	var readErr error
	for {
		if err := e.writeWithTimeout(piece); err != nil {
			e.abortResponse(id, balancer.OutcomeCanceled)
		}
		if readErr == io.EOF {
			break
		}
		if readErr != nil && e.request.Context().Err() != nil {
			e.abortResponse(id, balancer.OutcomeCanceled)
		}
		if readErr != nil {
			e.abortResponse(id, balancer.OutcomeTruncated)
		}
		var n int
		n, readErr = r.Body.Read(buffer)
		piece = buffer[:n]
	}
	e.endAttempt(id, balancer.OutcomeOK)
	e.observeAnswered(r.StatusCode)
}

// observeAnswered notes that the caller got a target's answer.
func (e *exchange) observeAnswered(status int) {
	e.server.counters.answered.Add(1)
	e.server.options.Observer.Answered(e.id, e.route, status, e.elapsed())
}

// writeWithTimeout writes within the write timeout. A caller that reads more slowly
// loses its connection, so that it cannot hold a target's slot for ever.
func (e *exchange) writeWithTimeout(piece []byte) error {
	_ = http.NewResponseController(e.writer).SetWriteDeadline(time.Now().Add(e.server.options.WriteTimeout))
	_, err := e.writer.Write(piece)
	return err
}

// abortResponse ends an answer that has started and cannot be completed.
func (e *exchange) abortResponse(id dispatch.AttemptID, outcome balancer.Outcome) {
	e.endAttempt(id, outcome)
	e.server.counters.aborted.Add(1)
	e.server.options.Observer.Canceled(e.id, e.route)
	panic(http.ErrAbortHandler)
}

// recordResponse keeps the whole answer for a caller that sends the same ticket again.
func (e *exchange) recordResponse(status int, header http.Header, body []byte) {
	e.recorded = &RecordedResponse{Status: status, Header: header.Clone(), Body: bytes.Clone(body)}
}

// replay writes a recorded answer.
func (e *exchange) replay(r *RecordedResponse) {
	header := e.writer.Header()
	id := header[wire.HeaderRequestID]
	for name, values := range r.Header {
		header[name] = values
	}
	header[wire.HeaderRequestID] = id
	e.server.beginResponse(e.writer)
	e.writer.WriteHeader(r.Status)
	e.server.counters.answered.Add(1)
	if len(r.Body) > 0 {
		_, _ = e.writer.Write(r.Body) // a caller that went away
	}
}
