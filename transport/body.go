package transport

import (
	"io"
	"net/http"
)

// body is the body of an answer. It gives the connection back when the answer
// ended whole and closes it otherwise.
type body struct {
	client   *Client
	target   string
	conn     *conn
	response *http.Response
	source   io.ReadCloser
	stop     func() bool // ends the watch of the context
	read     int64
	whole    bool
	failed   bool
	closed   bool
}

// Read returns the answer's bytes. An early end is an *Error that wraps
// io.ErrUnexpectedEOF.
func (b *body) Read(p []byte) (int, error) {
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.source.Read(p)
	b.read += int64(n)
	if err == nil {
		return n, nil
	}
	if err == io.EOF { // io.ErrUnexpectedEOF is another error
		b.whole = true
		return n, err
	}
	b.failed = true
	return n, &Error{Step: StepBody, Target: b.target, Err: err}
}

// Close ends the exchange.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.takeBuffered()
	b.closed = true
	reason, reusable := b.verdict()
	if !b.stop() { // the context ended and closes the connection
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

// takeBuffered reads the rest of a small answer that has already arrived, so
// that dropping a short answer does not cost a connection.
func (b *body) takeBuffered() {
	length := b.response.ContentLength
	if b.whole || b.failed || length < 0 || length-b.read > int64(b.conn.in.Buffered()) {
		return
	}
	_, _ = io.Copy(io.Discard, b) // Read notes the result
}

// verdict tells whether the connection can serve another exchange.
func (b *body) verdict() (CloseReason, bool) {
	switch {
	case b.failed:
		return CloseFailed, false
	case !b.whole:
		return CloseUnfinished, false
	case b.response.Close || !b.response.ProtoAtLeast(1, 1):
		return CloseRequested, false
	case b.conn.in.Buffered() > 0 || b.conn.surplus:
		return CloseUnexpectedData, false
	default:
		return 0, true
	}
}
