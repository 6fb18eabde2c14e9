package jsonc

import "fmt"

// PositionError is an error at a position in a document.
type PositionError struct {
	// Line and Column start at 1; columns are in bytes. Both are 0 if the position is
	// unknown.
	Line, Column int
	// Field is the path of the field, such as "pools[0].targets[2].slots". Syntax
	// errors have none. Unknown and duplicate fields have only their name.
	Field string
	// Err is the error without its position.
	Err error
}

// Error returns the text of Err, preceded by the position and the field if known.
func (e *PositionError) Error() string {
	text := e.Err.Error()
	if e.Field != "" {
		text = e.Field + ": " + text
	}
	if e.Line > 0 {
		text = fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, text)
	}
	return text
}

// Unwrap returns Err.
func (e *PositionError) Unwrap() error { return e.Err }
