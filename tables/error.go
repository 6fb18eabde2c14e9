package tables

import (
	"strings"

	"github.com/dogwoodroute/dogwoodroute/internal/jsonc"
)

// Error is the error of a refused document.
type Error struct {
	// Problems are the problems of the document. There is at least one.
	Problems []*jsonc.PositionError
}

// Error returns one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}
