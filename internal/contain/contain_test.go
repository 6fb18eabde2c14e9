package contain_test

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/internal/contain"
)

// Guards against a panic that is lost, or that goes on although it is handled.
func TestRunReportsAPanic(t *testing.T) {
	is := is.New(t)
	var reports []string
	handle := func(where string, value any, stack []byte) {
		reports = append(reports, where+": "+value.(string))
		is.True(strings.Contains(string(stack), "TestRunReportsAPanic"))
	}
	is.NoErr(contain.Run("fine", handle, func() {}))
	is.True(errors.Is(contain.Run("work", handle, func() { panic("bad") }), contain.ErrPanic))
	is.Equal(reports, []string{"work: bad"})
	defer func() { is.Equal(recover(), "bad") }()
	_ = contain.Run("work", nil, func() { panic("bad") })
}
