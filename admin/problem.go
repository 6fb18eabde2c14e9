package admin

import (
	"cmp"
	"slices"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/jsonc"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Problem is one reason why a document was refused.
type Problem struct {
	// Line and Column count from 1; 0 when the position is unknown.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the path of the field, such as "pools[0].targets[2].slots".
	Field string `json:"field"`
	// Message says what is wrong.
	Message string `json:"message"`
}

// Problems lists what an error of tables.Parse reports, in order of position. Another error becomes
// one problem without a position; nil becomes none.
func Problems(err error) []Problem {
	if err == nil {
		return nil
	}
	var tablesErr *tables.Error
	if errors.As(err, &tablesErr) {
		problems := make([]Problem, 0, len(tablesErr.Problems))
		for _, p := range tablesErr.Problems {
			problems = append(problems, newProblem(p))
		}
		slices.SortStableFunc(problems, func(a, b Problem) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
		})
		return problems
	}
	var positionErr *jsonc.PositionError
	if errors.As(err, &positionErr) {
		return []Problem{newProblem(positionErr)}
	}
	return []Problem{{Message: err.Error()}}
}

func newProblem(p *jsonc.PositionError) Problem {
	return Problem{Line: p.Line, Column: p.Column, Field: p.Field, Message: p.Err.Error()}
}
