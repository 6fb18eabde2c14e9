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
			e.end(other, balancer.OutcomeCanceled)
		}
	}
	// While the target's bytes are awaited, nothing else notices a caller that
	// went away.
	stop := context.AfterFunc(e.request.Context(), current.cancel)
	defer stop()
	buffer, put := e.buffer(current.response.ContentLength)
	defer put()
	n, err := io.ReadFull(current.response.Body, buffer)
	switch {
	case err == io.EOF, err == io.ErrUnexpectedEOF: // from ReadFull; an answer that was cut gives a *transport.Error
		e.answerBuffered(id, current.response, buffer[:n])
	case err != nil && e.request.Context().Err() != nil:
		e.abandon()
		e.end(id, balancer.OutcomeCanceled)
	case err != nil:
		e.end(id, balancer.OutcomeTruncated)
		e.refuse(&refusal.Refusal{Kind: refusal.AttemptFailed, Execution: refusal.MayHaveRun,
			Reason: "the target's answer ended early"})
	default:
		e.answerStreamed(id, current.response, buffer)
	}
	return true
}

// buffer returns room for an answer of the given length, -1 if unknown, and the
// function that gives it back. An answer that fits leaves one byte of room, so
// that its end is seen.
func (e *exchange) buffer(length int64) ([]byte, func()) {
	nothing := func() {}
	if length >= 0 && length < BufferedResponseBytes && e.memory.grow(length+1) {
		return make([]byte, length+1), nothing // released with the request
	}
	if e.memory.grow(BufferedResponseBytes) {
		room := buffers.Get().(*[BufferedResponseBytes]byte)
		return room[:], func() { buffers.Put(room) }
	}
	// Without memory for a whole answer, the slot is held while the caller reads.
	return make([]byte, streamedBytes), nothing
}

// streamedBytes is the piece of an answer that is read before the first write
// when the memory bound is reached.
const streamedBytes = 4 << 10

// answerBuffered frees the target's slot and then writes the whole answer.
func (e *exchange) answerBuffered(id dispatch.AttemptID, r *http.Response, body []byte) {
	e.end(id, balancer.OutcomeOK)
	header := e.writer.Header()
	copyHeader(header, r.Header)
	switch {
	case closeDelimited(r):
		header["Transfer-Encoding"] = identity
	case r.ContentLength < 0 && len(body) > 0:
		header["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	if e.ticket != "" {
		e.record(r.StatusCode, header, body)
	}
	e.server.beginAnswer(e.writer)
	e.writer.WriteHeader(r.StatusCode)
	e.answered(r.StatusCode)
	if len(body) > 0 {
		_, _ = e.writer.Write(body) // a caller that went away
	}
}

// identity makes net/http end an answer by closing the connection.
var identity = []string{"identity"}

// closeDelimited reports whether the target marked the end of the answer only by closing
// the connection. The caller gets the same form, since the end cannot be told
// from a cut.
func closeDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && r.Close && len(r.TransferEncoding) == 0
}

// answerStreamed writes an answer piece by piece. When it ends early the
// caller's connection is aborted, so that it cannot look whole.
func (e *exchange) answerStreamed(id dispatch.AttemptID, r *http.Response, buffer []byte) {
	header := e.writer.Header()
	copyHeader(header, r.Header)
	if closeDelimited(r) {
		header["Transfer-Encoding"] = identity
	}
	e.server.beginAnswer(e.writer)
	e.writer.WriteHeader(r.StatusCode)
	piece := buffer
	var readErr error
	for {
		if err := e.writePiece(piece); err != nil {
			e.abort(id, balancer.OutcomeCanceled)
		}
		if readErr == io.EOF {
			break
		}
		if readErr != nil && e.request.Context().Err() != nil {
			e.abort(id, balancer.OutcomeCanceled)
		}
		if readErr != nil {
			e.abort(id, balancer.OutcomeTruncated)
		}
		var n int
		n, readErr = r.Body.Read(buffer)
		piece = buffer[:n]
	}
	e.end(id, balancer.OutcomeOK)
	e.answered(r.StatusCode)
}

// answered notes that the caller got a target's answer.
func (e *exchange) answered(status int) {
	e.server.counters.answered.Add(1)
	e.server.options.Observer.Answered(e.id, e.route, status, e.took())
}

// writePiece writes within the write timeout. A caller that reads more slowly
// loses its connection, so that it cannot hold a target's slot for ever.
func (e *exchange) writePiece(piece []byte) error {
	_ = http.NewResponseController(e.writer).SetWriteDeadline(time.Now().Add(e.server.options.WriteTimeout))
	_, err := e.writer.Write(piece)
	return err
}

// abort ends an answer that has started and cannot be completed.
func (e *exchange) abort(id dispatch.AttemptID, outcome balancer.Outcome) {
	e.end(id, outcome)
	e.server.counters.aborted.Add(1)
	e.server.options.Observer.Canceled(e.id, e.route)
	panic(http.ErrAbortHandler)
}

// record keeps the whole answer for a caller that sends the same ticket again.
func (e *exchange) record(status int, header http.Header, body []byte) {
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
	e.server.beginAnswer(e.writer)
	e.writer.WriteHeader(r.Status)
	e.server.counters.answered.Add(1)
	if len(r.Body) > 0 {
		_, _ = e.writer.Write(r.Body) // a caller that went away
	}
}
