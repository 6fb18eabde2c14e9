package admin

import (
	"cmp"
	"slices"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/jsonc"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Problem is one problem of a refused configuration document.
type Problem struct {
	// Line and Column start at 1. They are 0 if the position is unknown.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the path of the field, such as "pools[0].targets[2].slots".
	Field string `json:"field"`
	// Message describes the problem.
	Message string `json:"message"`
}

// Problems returns the problems that an error of tables.Parse lists, ordered by
// position. For any other error it returns one problem without a position, and
// for nil none.
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
