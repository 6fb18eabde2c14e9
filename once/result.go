package once

// ResultKind states how a started request ended.
type ResultKind uint8

// Values of ResultKind.
const (
	ResultMayHaveRun ResultKind = iota // no complete response; the request may have run
	ResultAnswered                     // the target has sent a complete response
	ResultNotRun                       // no target has run the request and none will
)

// Result is the end of a started request.
type Result struct {
	Kind ResultKind
	// Response is set for ResultAnswered. It is recorded if it is small enough.
	// It is nil if the response was too large to be kept.
	Response *Response
}
