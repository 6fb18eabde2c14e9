package tables

import (
	"bytes"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/jsonc"
)

// Parse decodes and validates a document and sets defaults. Errors are of type
// *Error. If the text cannot be decoded, the error contains only that problem,
// otherwise the problems of all fields, up to a limit. The source is copied.
func Parse(source []byte) (*Document, error) {
	if len(source) > MaxDocumentBytes {
		return nil, &Error{Problems: []*jsonc.PositionError{{
			Err: errors.Errorf("document has %d bytes, at most %d are allowed", len(source), MaxDocumentBytes)}}}
	}
	document := new(Document)
	locator, err := jsonc.Decode(source, document)
	if err != nil {
		var problem *jsonc.PositionError
		if !errors.As(err, &problem) {
			problem = &jsonc.PositionError{Err: err}
		}
		return nil, &Error{Problems: []*jsonc.PositionError{problem}}
	}
	document.setDefaults()
	v := validator{locator: locator}
	v.document(document)
	if len(v.problems) > 0 {
		return nil, &Error{Problems: v.problems}
	}
	document.source = bytes.Clone(source)
	document.digest = digestOf(source)
	return document, nil
}

func (d *Document) setDefaults() {
	for i := range d.Routes {
		d.Routes[i].setDefaults()
	}
	d.setLongOnly()
	for i := range d.Pools {
		for j := range d.Pools[i].Targets {
			d.Pools[i].Targets[j].setDefaults()
		}
	}
}

// setLongOnly sets LongOnly of all pools. The defaults of the routes must have been
// set before.
func (d *Document) setLongOnly() {
	long, short := make(map[string]bool), make(map[string]bool)
	for i := range d.Routes {
		if d.Routes[i].Class == ClassLong {
			long[d.Routes[i].Pool] = true
		} else {
			short[d.Routes[i].Pool] = true
		}
	}
	for i := range d.Pools {
		name := d.Pools[i].Name
		d.Pools[i].LongOnly = long[name] && !short[name]
	}
}

func (r *Route) setDefaults() {
	if r.Class == "" {
		r.Class = ClassShort
	}
	if r.Priority == "" {
		r.Priority = PriorityNormal
	}
	if r.DeadlineMillis == 0 {
		r.DeadlineMillis = DefaultDeadline.Milliseconds()
	}
	if r.MaxAttempts == 0 {
		r.MaxAttempts = DefaultMaxAttempts
	}
}

func (t *Target) setDefaults() {
	if t.State == "" {
		t.State = StateServing
	}
	if t.Connections == 0 {
		t.Connections = DefaultConnections
	}
}
