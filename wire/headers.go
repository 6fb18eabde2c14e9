package wire

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Paths that instances answer themselves, and the probe path of targets.
const (
	PathPrefix  = "/.dogwoodroute/"
	PathResolve = PathPrefix + "resolve"
	PathTickets = PathPrefix + "tickets"
	PathProbe   = "/.target/load"
)

// Headers between callers, instances and targets.
const (
	Prefix           = "Dogwoodroute-"
	HeaderRequestID  = Prefix + "Request-Id"
	HeaderDeadline   = Prefix + "Deadline-Ms" // time left, in milliseconds
	HeaderAttempt    = Prefix + "Attempt"     // 1 for the first
	HeaderTicket     = Prefix + "Ticket"
	HeaderAnsweredBy = Prefix + "Answered-By"
)

// Headers that targets set.
const (
	HeaderTargetLoad      = "Target-Load"
	HeaderTargetState     = "Target-State"
	HeaderTargetExecution = "Target-Execution"
	ExecutionNotRun       = "not-run"
)

// AnsweredByTarget is the value of HeaderAnsweredBy on a target's own answer.
const AnsweredByTarget = "target"

// Bounds of header values.
const (
	MaxRequestIDBytes = 128
	MaxTicketBytes    = 512
	MaxAttempt        = 1000
	maxDeadline       = 24 * time.Hour
)

// ParseDeadline reads the time left of a request. ok is false when the header is absent.
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

// SetDeadline writes the time left, rounded down to milliseconds.
func SetDeadline(h http.Header, remaining time.Duration) {
	h.Set(HeaderDeadline, strconv.FormatInt(max(remaining, 0).Milliseconds(), 10))
}

// ParseAttempt reads the attempt number. An absent header is attempt 1.
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

// ParseRequestID reads the request identifier: printable ASCII without spaces,
// at most MaxRequestIDBytes. Empty when absent.
func ParseRequestID(h http.Header) (string, error) {
	return parseToken(h, HeaderRequestID, MaxRequestIDBytes)
}

// ParseTicket reads the ticket: printable ASCII without spaces, at most
// MaxTicketBytes. Empty when absent.
func ParseTicket(h http.Header) (string, error) {
	return parseToken(h, HeaderTicket, MaxTicketBytes)
}

func parseToken(h http.Header, name string, limit int) (string, error) {
	value, err := singleValue(h, name)
	if err != nil {
		return "", err
	}
	if len(value) > limit || strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", errors.Errorf("%s must be printable ASCII of at most %d bytes", name, limit)
	}
	return value, nil
}

// singleValue returns the value of a header that must not be repeated.
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

// HasPrefix reports whether a header belongs to dogwoodroute.
func HasPrefix(name string) bool {
	return len(name) >= len(Prefix) && strings.EqualFold(name[:len(Prefix)], Prefix)
}
