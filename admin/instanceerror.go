package admin

import "fmt"

// Step is the step of a call to an instance that failed. Its text precedes the path
// in error messages.
type Step string

// Steps of a call.
const (
	StepBuild  Step = "build request for"
	StepSend   Step = "send request for"
	StepStatus Step = "get"
	StepDecode Step = "decode response of"
)

// InstanceError describes a failed call to one instance.
type InstanceError struct {
	// Address is the instance's administration address.
	Address string
	// Path is the requested path of the API.
	Path string
	Step Step
	// Status is the HTTP status, 0 if there was no response.
	Status int
	Err    error
}

// Error returns a message with address, step, path and cause.
func (e *InstanceError) Error() string {
	return fmt.Sprintf("instance at %s: %s %s: %v", e.Address, e.Step, e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *InstanceError) Unwrap() error { return e.Err }
