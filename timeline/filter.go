package timeline

import (
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Filter selects events. Empty fields accept all events.
type Filter struct {
	// Request, if set, accepts only the steps of the request with this ID.
	Request string
	// From and To bound the time of events, both inclusive.
	From, To time.Time
	// StateOnly rejects request steps. It has no effect if Request is set.
	StateOnly bool
}

// Accepts reports whether the filter selects the event.
func (f Filter) Accepts(e *Event) bool {
	switch {
	case f.Request != "":
		if e.Request != f.Request {
			return false
		}
	case f.StateOnly && e.Kind.IsRequestStep():
		return false
	}
	return (f.From.IsZero() || !e.Time.Before(f.From)) && (f.To.IsZero() || !e.Time.After(f.To))
}

// IsRequestStep reports whether the kind is a request step, not a state change.
func (k Kind) IsRequestStep() bool {
	return strings.HasPrefix(string(k), "request-") || k == AttemptEnded
}

// Query parameters of a filter.
const (
	paramRequest   = "request"
	paramFrom      = "from"
	paramTo        = "to"
	paramStateOnly = "state_only"
)

// Query encodes the filter as URL query parameters.
func (f Filter) Query() url.Values {
	values := url.Values{}
	if f.Request != "" {
		values.Set(paramRequest, f.Request)
	}
	if !f.From.IsZero() {
		values.Set(paramFrom, f.From.Format(time.RFC3339Nano))
	}
	if !f.To.IsZero() {
		values.Set(paramTo, f.To.Format(time.RFC3339Nano))
	}
	if f.StateOnly {
		values.Set(paramStateOnly, "true")
	}
	return values
}

// ParseQuery decodes a filter from URL query parameters. It ignores unknown
// parameters and returns an error for a time that is not in RFC 3339 format.
func ParseQuery(values url.Values) (Filter, error) {
	f := Filter{Request: values.Get(paramRequest), StateOnly: values.Get(paramStateOnly) == "true"}
	for name, field := range map[string]*time.Time{paramFrom: &f.From, paramTo: &f.To} {
		text := values.Get(name)
		if text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return Filter{}, errors.Wrapf(err, "parameter %s", name)
		}
		*field = at
	}
	return f, nil
}
