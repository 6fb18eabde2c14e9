// Package contain keeps a panic from ending the process: it ends the work in which it
// arose, a request, an exchange with a peer or one message to a task, and is reported.
package contain

import (
	"runtime/debug"

	"github.com/go-faster/errors"
)

// ErrPanic is the error of work that ended with a panic.
var ErrPanic = errors.New("ended with a panic")

// Handler reports a panic. where names the work; stack is the one of the panic.
type Handler func(where string, value any, stack []byte)

// Run calls f. If f panics, it calls handle and returns ErrPanic. With a nil handler the
// panic goes on.
func Run(where string, handle Handler, f func()) (err error) {
	if handle == nil {
		f()
		return nil
	}
	defer func() {
		if value := recover(); value != nil {
			handle(where, value, debug.Stack())
			err = errors.Wrap(ErrPanic, where)
		}
	}()
	f()
	return nil
}
