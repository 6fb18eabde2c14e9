package transport

import (
	"io"
	"net/http"
)

// body is the body of a response. Close returns the connection to the pool if the
// exchange is complete, and closes the connection otherwise.
type body struct {
	client          *Client
	target          string
	conn            *conn
	response        *http.Response
	underlying      io.ReadCloser
	stopCancelWatch func() bool // stops watching the context; false if the context has ended
	read            int64
	complete        bool
	failed          bool
	closed          bool
	unnamedRefusal  bool // see Attempt.isUnnamedRefusal
}

// Read reads from the response body. Errors other than io.EOF are *Error, except
// after Close. That of a truncated response wraps io.ErrUnexpectedEOF.
func (b *body) Read(p []byte) (int, error) {
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.underlying.Read(p)
	b.read += int64(n)
	if err == nil {
		return n, nil
	}
	if err == io.EOF { // compared directly: io.ErrUnexpectedEOF means a truncated response
		b.complete = true
		return n, err
	}
	b.failed = true
	return n, &Error{Step: StepBody, Target: b.target, Err: err}
}

// Close ends the exchange. The connection is reused only if nothing remains unread.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.drainBuffered()
	b.closed = true
	reason, reusable := b.checkReuse()
	if !b.stopCancelWatch() { // the context ended and closes the connection
		reason, reusable = CloseUnfinished, false
	}
	if reusable {
		b.client.pool.put(b.conn)
	} else {
		b.client.pool.discard(b.conn, reason)
	}
	b.conn = nil
	return nil
}

// drainBuffered reads the rest of the response if all of it has already arrived,
// so that discarding a short response does not cost a connection.
func (b *body) drainBuffered() {
	length := b.response.ContentLength
	if b.complete || b.failed || length < 0 || length-b.read > int64(b.conn.in.Buffered()) {
		return
	}
	_, _ = io.Copy(io.Discard, b) // Read records success or failure
}

// checkReuse reports whether the connection can serve another exchange, and if not,
// the reason to close it.
func (b *body) checkReuse() (CloseReason, bool) {
	switch {
	case b.failed:
		return CloseFailed, false
	case !b.complete:
		return CloseUnfinished, false
	case b.response.Close || !b.response.ProtoAtLeast(1, 1):
		return CloseRequested, false
	case b.conn.in.Buffered() > 0 || b.conn.sawLateResponse:
		return CloseUnexpectedData, false
	case b.unnamedRefusal:
		return CloseUnnamedRefusal, false
	default:
		return 0, true
	}
}
