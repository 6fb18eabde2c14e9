package jsonc

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

// Decode decodes source, JSON with comments and trailing commas, into v. Unknown
// fields, duplicate fields and content after the value are errors. Every error is a
// *PositionError. The returned Locator gives the position of fields to errors that
// the caller finds later.
func Decode(source []byte, v any) (*Locator, error) {
	root, err := hujson.Parse(source)
	if err != nil {
		return nil, &PositionError{Err: errors.Wrap(err, "parse JSON with comments")}
	}
	locator := &Locator{source: source, root: root}
	if err := locator.rejectDuplicates(); err != nil {
		return nil, err
	}
	standard := root.Clone()
	standard.Standardize()
	plain := standard.Pack()
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return nil, locator.decodeError(err, decoder.InputOffset())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &PositionError{Err: errors.New("content after the end of the document")}
	}
	return locator, nil
}

// decodeError adds the position and field to an error of encoding/json. Offsets in
// the standardized JSON are also offsets in the source, because Standardize keeps
// byte offsets.
func (l *Locator) decodeError(err error, offset int64) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		line, column := l.lineColumn(int(typeError.Offset))
		return &PositionError{Line: line, Column: column, Field: typeError.Field,
			Err: errors.Errorf("a %s cannot be used as %s", typeError.Value, typeError.Type)}
	}
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		offset = syntaxError.Offset
	}
	position := int(offset)
	field := ""
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		field = strings.Trim(name, `"`)
		if at := l.findKey(field, position); at >= 0 {
			position = at
		}
	}
	line, column := l.lineColumn(position)
	return &PositionError{Line: line, Column: column, Field: field, Err: err}
}
