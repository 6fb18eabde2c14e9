package admin_test

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/admin"
	"github.com/dogwoodroute/dogwoodroute/timeline"
)

func serveRequest(h http.Handler, method, target string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, httptest.NewRequest(method, target, nil))
	return recorder
}

// Guards against an API that accepts methods that may change state, and against a
// health check that reports an instance as healthy although it does not serve.
func TestMethodsAndHealth(t *testing.T) {
	is := is.New(t)
	i := newInstance("i1", base)
	for _, path := range []string{"/status", "/timeline", "/metrics", "/healthz"} {
		is.Equal(serveRequest(i.handler(), "GET", path).Code, 200)
		for _, method := range []string{"HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"} {
			response := serveRequest(i.handler(), method, path)
			is.Equal(response.Code, 405)
			is.Equal(response.Header().Get("Allow"), "GET")
		}
	}
	for _, state := range []admin.State{admin.Starting, admin.Stale, admin.Leaving} {
		i.status.Instance.State = state
		response := serveRequest(i.handler(), "GET", "/healthz")
		is.Equal(response.Code, 503)
		is.True(strings.Contains(response.Body.String(), string(state)))
	}
	is.Equal(serveRequest(i.handler(), "GET", "/timeline?from=noon").Code, 400)
	is.Equal(serveRequest(i.handler(), "GET", "/").Code, 404)
}

// Guards against responses of unbounded size and against dropped events that are
// not counted.
func TestTimelineIsBounded(t *testing.T) {
	is := is.New(t)
	i := newInstance("i1", base)
	for range admin.MaxEvents + 12 {
		i.recorder.RecordRequest(timeline.Event{Kind: timeline.RequestReceived, Request: "r"})
	}
	var page timeline.Page
	is.NoErr(json.Unmarshal(serveRequest(i.handler(), "GET", "/timeline?request=r").Body.Bytes(), &page))
	is.Equal(len(page.Events), admin.MaxEvents)
	is.Equal(page.Events[admin.MaxEvents-1].Sequence, uint64(admin.MaxEvents+12)) // the newest event
	is.Equal(page.Omitted, uint64(10))
	is.Equal(page.Lost, uint64(2))
}

// Guards against renamed JSON fields, which break operators' scripts.
func TestStatusStructure(t *testing.T) {
	is := is.New(t)
	var value any
	is.NoErr(json.Unmarshal(serveRequest(newInstance("i1", base).handler(), "GET", "/status").Body.Bytes(), &value))
	keys := make(map[string]bool)
	collect(value, "", keys)
	want, err := os.ReadFile("testdata/status.fields")
	is.NoErr(err)
	is.Equal(strings.Join(slices.Sorted(maps.Keys(keys)), "\n")+"\n", string(want))
}

// collect adds the path and type of every leaf of value to keys.
func collect(value any, path string, keys map[string]bool) {
	switch v := value.(type) {
	case map[string]any:
		for key, inner := range v {
			collect(inner, path+"."+key, keys)
		}
	case []any:
		for _, inner := range v {
			collect(inner, path+"[]", keys)
		}
	case string:
		keys[path+" string"] = true
	case float64:
		keys[path+" number"] = true
	case bool:
		keys[path+" boolean"] = true
	}
}
