package gateway

import (
	"math"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/segments"
)

// readBody reads the whole body of the request before any target gets it, so that
// retries can send it again. It returns the response to send if reading fails,
// otherwise nil.
func (x *exchange) readBody() *response {
	limit, length := x.view.Config.Limits.BodyBytes, x.caller.ContentLength
	if limit <= 0 {
		limit = math.MaxInt64
	}
	if length > limit {
		return &response{status: http.StatusRequestEntityTooLarge, outcome: outcomeTooLarge}
	}
	if length == 0 {
		return nil
	}
	memory := x.memory.newRequestBody(x.callerAddress())
	if length > 0 && !memory.fits(length) {
		return newRefusal(outcomeNoRoom, defaultRetryAfter)
	}
	x.setReadDeadline(time.Now().Add(x.deadline - x.gateway.options.Now()))
	err := x.body.Fill(x.caller.Body, length, limit, memory.reserve)
	x.bodyBytes = x.body.Len()
	switch {
	case err == nil:
		// The deadline is not cleared after an error, so that net/http does not
		// wait for the rest of the body.
		x.setReadDeadline(time.Time{})
		return nil
	case errors.Is(err, segments.ErrNoMemory):
		return newRefusal(outcomeNoRoom, defaultRetryAfter)
	case errors.Is(err, segments.ErrTooLong):
		return &response{status: http.StatusRequestEntityTooLarge, outcome: outcomeTooLarge}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &response{status: http.StatusRequestTimeout, outcome: outcomeSlowBody}
	default:
		return &response{status: http.StatusBadRequest, outcome: outcomeBadRequest}
	}
}

// setReadDeadline sets the deadline for reading the body, or clears it if it is zero. The
// context of a relayed request has a deadline, and its body is read from that.
func (x *exchange) setReadDeadline(at time.Time) {
	if x.relayed != nil {
		return
	}
	if err := x.controller.SetReadDeadline(at); err != nil {
		x.gateway.options.Log.Warn("set read deadline for request body failed; the one before stays on the caller's connection",
			"id", x.id, "clear", at.IsZero(), "error", err.Error())
	}
}
