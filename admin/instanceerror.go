package admin

import "fmt"

// Step is the part of a call to an instance that failed.
type Step string

// Steps.
const (
	StepBuild  Step = "build request"
	StepSend   Step = "ask"
	StepStatus Step = "ask for"
	StepDecode Step = "decode answer"
)

// InstanceError says that one instance could not be asked.
type InstanceError struct {
	// Address is the instance's administration address.
	Address string
	// Path is what was asked for.
	Path string
	Step Step
	// Status is the HTTP status, 0 when there was no answer.
	Status int
	Err    error
}

// Error names the instance, the step and the cause.
func (e *InstanceError) Error() string {
	return fmt.Sprintf("instance at %s: %s %s: %v", e.Address, e.Step, e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *InstanceError) Unwrap() error { return e.Err }
