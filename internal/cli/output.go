package cli

import (
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// writeJSON prints a value as indented JSON.
func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errorsWrap(encoder.Encode(value), "print JSON")
}

// errorsWrap is errors.Wrap, except that it returns nil if err is nil. errors.Wrap of
// go-faster returns a non-nil error in this case.
func errorsWrap(err error, text string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, text)
}
