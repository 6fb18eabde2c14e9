package gateway

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// readBody reads the whole body of the request before any target gets it, so that
// retries can send it again. It returns the response to send if reading fails,
// otherwise nil.
func (x *exchange) readBody() *response {
	limit := x.view.Config.Limits.BodyBytes
	if limit > 0 && x.caller.ContentLength > limit {
		return &response{status: http.StatusRequestEntityTooLarge, outcome: outcomeTooLarge}
	}
	if x.caller.ContentLength == 0 {
		return nil
	}
	g := x.gateway
	if err := x.controller.SetReadDeadline(time.Now().Add(x.deadline - g.options.Now())); err != nil {
		g.options.Log.Warn("set read deadline for request body failed; reading without one", "id", x.id, "error", err.Error())
	}
	var buffer bytes.Buffer
	reserved := max(0, x.caller.ContentLength)
	if n := reserved; n > 0 {
		if !x.memory.reserve(n) {
			return newRefusal(outcomeNoRoom, defaultRetryAfter)
		}
		buffer.Grow(int(n) + bytes.MinRead)
	}
	source := io.Reader(x.caller.Body)
	if limit > 0 {
		source = io.LimitReader(source, limit+1)
	}
	for {
		n, err := io.CopyN(&buffer, source, bodyChunk)
		if extra := int64(buffer.Len()) - reserved; extra > 0 {
			reserved += extra
			if !x.memory.reserve(extra) {
				return newRefusal(outcomeNoRoom, defaultRetryAfter)
			}
		}
		if limit > 0 && int64(buffer.Len()) > limit {
			return &response{status: http.StatusRequestEntityTooLarge, outcome: outcomeTooLarge}
		}
		if err == io.EOF {
			x.body = buffer.Bytes()
			// The deadline is not cleared after an error, so that net/http does not
			// wait for the rest of the body.
			if err := x.controller.SetReadDeadline(time.Time{}); err != nil {
				g.options.Log.Warn("clear read deadline after request body failed; it stays on the caller's connection",
					"id", x.id, "error", err.Error())
			}
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return &response{status: http.StatusRequestTimeout, outcome: outcomeSlowBody}
		}
		if err != nil || n == 0 {
			return &response{status: http.StatusBadRequest, outcome: outcomeBadRequest}
		}
	}
}

// bodyChunk is the number of bytes read between two checks of the memory limit.
const bodyChunk = 64 << 10
