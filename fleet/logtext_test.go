package fleet

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// Guards against log lines as long as an unreadable record.
func TestErrorsInTheLogAreShort(t *testing.T) {
	is := is.New(t)
	is.Equal(logText(errors.New("short")), "short")
	is.True(len(logText(errors.New(strings.Repeat("é", 1<<20)))) <= maxErrorBytes)
}
