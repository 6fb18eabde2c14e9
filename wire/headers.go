package wire

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Paths of the control calls that instances handle themselves, and the path at
// which targets handle probes.
const (
	PathPrefix  = "/.dogwoodroute/"
	PathResolve = PathPrefix + "resolve"
	PathTickets = PathPrefix + "tickets"
	PathProbe   = "/.target/load"
)

// Headers exchanged between callers, instances and targets.
const (
	Prefix           = "Dogwoodroute-"
	HeaderRequestID  = Prefix + "Request-Id"
	HeaderDeadline   = Prefix + "Deadline-Ms" // remaining time in milliseconds
	HeaderAttempt    = Prefix + "Attempt"     // number of the attempt, from 1
	HeaderTicket     = Prefix + "Ticket"
	HeaderAnsweredBy = Prefix + "Answered-By"
	// HeaderTarget holds the name of the target that a request or probe of an instance is
	// meant for. Another target answers 421 and does not run it.
	HeaderTarget = Prefix + "Target"
)

// Headers that targets set, and the value of HeaderTargetExecution for a request
// that the target did not run.
const (
	HeaderTargetLoad      = "Target-Load"
	HeaderTargetState     = "Target-State"
	HeaderTargetExecution = "Target-Execution"
	ExecutionNotRun       = "not-run"
)

// AnsweredByTarget is the value of HeaderAnsweredBy on the response of a target.
const AnsweredByTarget = "target"

// Limits of header values.
const (
	MaxRequestIDBytes = 128
	MaxTicketBytes    = 512
	MaxAttempt        = 1000
	maxDeadline       = 24 * time.Hour
)

// ParseDeadline returns the remaining time of a request. ok is false if the header
// is absent. A malformed or repeated header is an error, as is a value above 24
// hours.
func ParseDeadline(h http.Header) (remaining time.Duration, ok bool, err error) {
	text, err := singleValue(h, HeaderDeadline)
	if text == "" || err != nil {
		return 0, false, err
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 0 || millis > maxDeadline.Milliseconds() {
		return 0, false, errors.Errorf("%s %q is not a number of milliseconds from 0 to %d",
			HeaderDeadline, text, maxDeadline.Milliseconds())
	}
	return time.Duration(millis) * time.Millisecond, true, nil
}

// SetDeadline sets the remaining time, rounded down to milliseconds. Negative
// values are written as 0.
func SetDeadline(h http.Header, remaining time.Duration) {
	h.Set(HeaderDeadline, strconv.FormatInt(max(remaining, 0).Milliseconds(), 10))
}

// ParseAttempt returns the attempt number, from 1 to MaxAttempt. It is 1 if the
// header is absent.
func ParseAttempt(h http.Header) (int, error) {
	text, err := singleValue(h, HeaderAttempt)
	if err != nil {
		return 0, err
	}
	if text == "" {
		return 1, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > MaxAttempt {
		return 0, errors.Errorf("%s %q is not a number from 1 to %d", HeaderAttempt, text, MaxAttempt)
	}
	return n, nil
}

// ParseRequestID returns the request identifier: printable ASCII without spaces,
// at most MaxRequestIDBytes. It is empty if the header is absent.
func ParseRequestID(h http.Header) (string, error) {
	return parsePrintable(h, HeaderRequestID, MaxRequestIDBytes)
}

// ParseTicket returns the ticket: printable ASCII without spaces, at most
// MaxTicketBytes. It is empty if the header is absent.
func ParseTicket(h http.Header) (string, error) {
	return parsePrintable(h, HeaderTicket, MaxTicketBytes)
}

// parsePrintable returns the value of a header that must be printable ASCII without
// spaces, of at most limit bytes, or an empty string if it is absent.
func parsePrintable(h http.Header, name string, limit int) (string, error) {
	value, err := singleValue(h, name)
	if err != nil {
		return "", err
	}
	if len(value) > limit || strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", errors.Errorf("%s must be printable ASCII of at most %d bytes", name, limit)
	}
	return value, nil
}

// singleValue returns the value of a header, or an empty string if it is absent. A
// repeated header is an error.
func singleValue(h http.Header, name string) (string, error) {
	switch values := h[name]; len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	default:
		return "", errors.Errorf("%s is present %d times", name, len(values))
	}
}

// HasPrefix reports whether a header name starts with Prefix, in any case.
func HasPrefix(name string) bool {
	return len(name) >= len(Prefix) && strings.EqualFold(name[:len(Prefix)], Prefix)
}
