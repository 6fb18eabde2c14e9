package refusal

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Headers of a refusal.
const (
	HeaderKind      = "Dogwoodroute-Refusal"
	HeaderBy        = "Dogwoodroute-Refused-By"
	HeaderExecution = "Dogwoodroute-Execution"
	HeaderRetry     = "Retry-After"
)

// maxBodyBytes limits the size of the refusal body that Parse reads.
const maxBodyBytes = 64 << 10

// Refusal describes why a request was refused. It implements error.
type Refusal struct {
	// Kind is the cause.
	Kind Kind
	// Execution states whether the request was run.
	Execution Execution
	// Reason is an explanation for people: the operator's text from the tables, or a
	// description by the program.
	Reason string
	// RetryAfter is the time after which a retry may succeed. Zero: none is given,
	// because a retry is not expected to succeed.
	RetryAfter time.Duration
	// RequestID is the request identifier, if known.
	RequestID string
}

// New returns a refusal of a request that was not run.
func New(kind Kind, reason string) *Refusal {
	return &Refusal{Kind: kind, Execution: NotRun, Reason: reason}
}

// Error returns who refused, the kind, the execution and the reason in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused by %s: %s (%s): %s", r.Kind.By(), r.Kind, r.Execution, r.Reason)
}

// body is the JSON encoding of a refusal.
type body struct {
	RefusedBy        By        `json:"refused_by"`
	Kind             Kind      `json:"kind"`
	Execution        Execution `json:"execution"`
	Reason           string    `json:"reason"`
	RetryAfterMillis int64     `json:"retry_after_ms"`
	RequestID        string    `json:"request_id"`
}

// Write writes the refusal as the whole response. Retry-After is rounded up to
// seconds; the body has milliseconds. Errors of the connection are returned
// unwrapped.
func (r *Refusal) Write(w http.ResponseWriter) error {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderKind, string(r.Kind))
	header.Set(HeaderBy, string(r.Kind.By()))
	header.Set(HeaderExecution, string(r.Execution))
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		header.Set(HeaderRetry, strconv.FormatInt(int64(seconds), 10))
	}
	text, err := json.Marshal(body{RefusedBy: r.Kind.By(), Kind: r.Kind, Execution: r.Execution,
		Reason: r.Reason, RetryAfterMillis: r.RetryAfter.Milliseconds(), RequestID: r.RequestID})
	if err != nil {
		return errors.Wrap(err, "encode refusal")
	}
	text = append(text, '\n')
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(r.Kind.Status())
	_, err = w.Write(text)
	return err
}

// Parse reads a refusal from a response. It returns nil without reading the body
// if the response is not a refusal. If the body cannot be read or decoded, the
// refusal is built from the headers alone. Execution is MayHaveRun unless the
// header states NotRun.
func Parse(response *http.Response) *Refusal {
	kind := response.Header.Get(HeaderKind)
	if kind == "" {
		return nil
	}
	r := &Refusal{Kind: Kind(kind), Execution: MayHaveRun}
	if response.Header.Get(HeaderExecution) == string(NotRun) {
		r.Execution = NotRun
	}
	if seconds, err := strconv.Atoi(response.Header.Get(HeaderRetry)); err == nil && seconds > 0 {
		r.RetryAfter = time.Duration(seconds) * time.Second
	}
	var b body
	text, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil || json.Unmarshal(text, &b) != nil {
		return r
	}
	r.Reason, r.RequestID = b.Reason, b.RequestID
	if b.RetryAfterMillis > 0 {
		r.RetryAfter = time.Duration(b.RetryAfterMillis) * time.Millisecond
	}
	return r
}
