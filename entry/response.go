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

// buffers holds the read buffers of responses that are streamed or whose length
// is unknown.
var buffers = sync.Pool{New: func() any { return new([BufferedResponseBytes]byte) }}

// accept forwards the response of an attempt to the caller and cancels the other
// attempts. It returns false if the attempt has already ended without a
// response, and true when the request is complete.
func (e *exchange) accept(id dispatch.AttemptID) bool {
	current := e.attempts[id]
	if current == nil || current.response == nil {
		return false // the attempt ended meanwhile; the dispatch task sends another action
	}
	for other := range e.attempts {
		if other != id {
			e.endAttempt(other, balancer.OutcomeCanceled)
		}
	}
	// While the handler waits for the target's response body, only this callback
	// detects that the caller has disconnected.
	stop := context.AfterFunc(e.request.Context(), current.cancel)
	defer stop()
	buffer, release := e.responseBuffer(current.response.ContentLength)
	defer release()
	n, err := io.ReadFull(current.response.Body, buffer)
	switch {
	case err == io.EOF, err == io.ErrUnexpectedEOF: // from ReadFull: the whole body is read; a truncated response gives a *transport.Error
		e.writeBuffered(id, current.response, buffer[:n])
	case err != nil && e.request.Context().Err() != nil:
		e.endAttempt(id, balancer.OutcomeCanceled)
		e.abortCallerGone()
	case err != nil:
		e.endAttempt(id, balancer.OutcomeTruncated)
		e.refuse(&refusal.Refusal{Kind: refusal.AttemptFailed, Execution: refusal.MayHaveRun,
			Reason: "the target's answer ended early"})
	default:
		e.writeStreamed(id, current.response, buffer)
	}
	return true
}

// responseBuffer returns a read buffer for a response body of the given length
// (-1 if unknown) and a function that releases it. The buffer is one byte larger
// than a body of known length that fits, so that a full read reaches its end.
func (e *exchange) responseBuffer(length int64) ([]byte, func()) {
	noRelease := func() {}
	if length >= 0 && length < BufferedResponseBytes && e.memory.grow(length+1) {
		return make([]byte, length+1), noRelease // the memory is released with the request
	}
	if e.memory.grow(BufferedResponseBytes) {
		array := buffers.Get().(*[BufferedResponseBytes]byte)
		return array[:], func() { buffers.Put(array) }
	}
	// The memory limit is reached: stream the response, which occupies the
	// target's slot until the caller has read it.
	return make([]byte, fallbackBufferBytes), noRelease
}

// fallbackBufferBytes is the size of the buffer used to stream a response when
// the memory limit is reached.
const fallbackBufferBytes = 4 << 10

// writeBuffered writes a response whose body was read completely. It ends the
// attempt first, so that a slow caller does not occupy the target's slot.
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
		_, _ = e.writer.Write(body) // fails only if the caller has disconnected
	}
}

// identityEncoding is the Transfer-Encoding value that makes net/http end a
// response by closing the connection.
var identityEncoding = []string{"identity"}

// closeDelimited reports whether the target marks the end of the response only
// by closing the connection. The response to the caller must be delimited in the
// same way, because its end cannot be distinguished from a truncation.
func closeDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && r.Close && len(r.TransferEncoding) == 0
}

// writeStreamed writes a response while it is being read; buffer holds its first
// bytes. If the target truncates it, or the caller stops reading, the caller's
// connection is aborted, so that a truncated response cannot look complete.
func (e *exchange) writeStreamed(id dispatch.AttemptID, r *http.Response, buffer []byte) {
	header := e.writer.Header()
	copyResponseHeader(header, r.Header)
	if closeDelimited(r) {
		header["Transfer-Encoding"] = identityEncoding
	}
	e.server.beginResponse(e.writer)
	e.writer.WriteHeader(r.StatusCode)
	data := buffer
	var readErr error
	for {
		if err := e.writeWithTimeout(data); err != nil {
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
		data = buffer[:n]
	}
	e.endAttempt(id, balancer.OutcomeOK)
	e.observeAnswered(r.StatusCode)
}

// observeAnswered counts and reports a request that a target answered.
func (e *exchange) observeAnswered(status int) {
	e.server.counters.answered.Add(1)
	e.server.options.Observer.Answered(e.id, e.route, status, e.elapsed())
}

// writeWithTimeout writes to the caller within Options.WriteTimeout. A caller
// that reads too slowly loses its connection, so that it cannot occupy a
// target's slot indefinitely.
func (e *exchange) writeWithTimeout(data []byte) error {
	_ = http.NewResponseController(e.writer).SetWriteDeadline(time.Now().Add(e.server.options.WriteTimeout))
	_, err := e.writer.Write(data)
	return err
}

// abortResponse ends the attempt and aborts the caller's connection after part
// of the response was written. It panics with http.ErrAbortHandler.
func (e *exchange) abortResponse(id dispatch.AttemptID, outcome balancer.Outcome) {
	e.endAttempt(id, outcome)
	e.server.counters.aborted.Add(1)
	e.server.options.Observer.Canceled(e.id, e.route)
	panic(http.ErrAbortHandler)
}

// recordResponse keeps the whole response, to be replayed when a request with the
// same ticket arrives again.
func (e *exchange) recordResponse(status int, header http.Header, body []byte) {
	e.recorded = &RecordedResponse{Status: status, Header: header.Clone(), Body: bytes.Clone(body)}
}

// replay writes a recorded response with the identifier of the current request.
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
		_, _ = e.writer.Write(r.Body) // fails only if the caller has disconnected
	}
}
