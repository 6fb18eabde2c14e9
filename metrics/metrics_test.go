package metrics_test

import (
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/metrics"
)

// Guards against counters that never reach the HTTP endpoint, and against an unbounded
// number of tag values.
func TestMetricsAreServed(t *testing.T) {
	is := is.New(t)
	m, err := metrics.New("i1")
	is.NoErr(err)
	for n := range 2000 {
		m.Refusal("k" + strconv.Itoa(n))
	}
	m.Request("lookup", 3*time.Millisecond)
	is.NoErr(m.Close()) // updates the served values
	recorder := httptest.NewRecorder()
	m.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	text := recorder.Body.String()
	is.True(strings.Contains(text, `dogwoodroute_requests_total{instance="i1",route="lookup"} 1`))
	is.True(strings.Contains(text, `dogwoodroute_refusals_total{instance="i1",kind="other"} 976`))
	is.True(strings.Count(text, "dogwoodroute_refusals_total{") <= 1025)
}
