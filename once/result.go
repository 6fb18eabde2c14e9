package once

// ResultKind is how a started request ended.
type ResultKind uint8

// Result kinds.
const (
	ResultMayHaveRun ResultKind = iota // no complete answer, and not known not to have run
	ResultAnswered                     // the target answered completely
	ResultNotRun                       // no target has run it and none will
)

// Result is the end of a started request.
type Result struct {
	Kind ResultKind
	// Response is set for ResultAnswered. It is recorded when it is small enough.
	// Nil: the answer was too large to be kept.
	Response *Response
}
