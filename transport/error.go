package transport

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Steps of an attempt.
const (
	StepWait    = "wait for a connection"
	StepConnect = "connect"
	StepBuild   = "build request"
	StepSend    = "send request"
	StepHead    = "read response head"
	StepBody    = "read response body"
)

// Causes of failed attempts.
var (
	ErrClosed       = errors.New("transport client is closed")
	ErrExpired      = errors.New("attempt expired before it was sent")
	ErrHeadTooLarge = errors.New("response head exceeds the size limit")
)

// Error is the failure of an attempt.
type Error struct {
	Step   string // one of the Step constants
	Target string // name of the target
	// NotSent is true only if no byte of the request can have reached the target.
	NotSent bool
	Err     error
}

// Error returns the step, the target and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s, target %s: %v", e.Step, e.Target, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
