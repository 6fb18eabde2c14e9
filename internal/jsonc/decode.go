package jsonc

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

// Decode parses source, JSON with comments and trailing commas, into v. Unknown
// fields and content after the value are errors. Errors are *PositionError.
// The returned Locator finds fields for later checks.
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

// decodeError maps an encoding/json error to its position. Standardize keeps
// byte offsets, so offsets into the plain text are offsets into the source.
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
