package refusal_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Guards against losing or changing fields of a refusal between Write and Parse.
func TestRefusalSurvivesHTTP(t *testing.T) {
	is := is.New(t)
	sent := &refusal.Refusal{Kind: refusal.RouteClosed, Execution: refusal.NotRun, Reason: "index day, até 18h",
		RetryAfter: 1500 * time.Millisecond, RequestID: "r-1"}
	recorder := httptest.NewRecorder()
	is.NoErr(sent.Write(recorder))
	response := recorder.Result()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get(refusal.HeaderBy), "person")
	is.Equal(response.Header.Get(refusal.HeaderRetry), "2")
	is.Equal(refusal.Parse(response), sent)
}

// Guards against parsing a refusal without an execution header as "not run", and a
// target's response as a refusal.
func TestParseDefaultsToMayHaveRun(t *testing.T) {
	is := is.New(t)
	response := &http.Response{Header: http.Header{refusal.HeaderKind: {"overload"}}, Body: http.NoBody}
	is.Equal(refusal.Parse(response).Execution, refusal.MayHaveRun)
	response.Header = http.Header{}
	is.True(refusal.Parse(response) == nil) // a target's response
}
