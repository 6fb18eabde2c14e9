package entry_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/standin"
)

// maxPathAllocations is the maximum number of allocations of one request. It
// includes the caller's net/http client and the fake target, which run in the
// same process. A request makes about 195, with the race detector about 205.
const maxPathAllocations = 240

// Guards against an unnoticed increase of allocations per request.
func TestPathAllocations(t *testing.T) {
	f := start(t, standin.TargetOptions{ServiceTime: func(*http.Request) time.Duration { return 0 }}, nil)
	allocations := testing.AllocsPerRun(200, func() { f.mustDo(t, http.MethodPost, "/echo", []byte("body")) })
	t.Logf("%.0f allocations per call", allocations)
	if allocations > maxPathAllocations {
		t.Fatalf("%.0f allocations per call, at most %d are accepted", allocations, maxPathAllocations)
	}
}

func BenchmarkPath(b *testing.B) {
	f := start(b, standin.TargetOptions{Slots: 64, ServiceTime: func(*http.Request) time.Duration { return 0 }}, nil)
	b.ReportAllocs()
	for b.Loop() {
		f.mustDo(b, http.MethodPost, "/echo", []byte("body"))
	}
}

// Guards against caller headers that crash the handler, and against responses that
// are not marked as either a target's response or a refusal, or that have no valid
// request identifier.
func FuzzCallerHeaders(f *testing.F) {
	served := start(f, standin.TargetOptions{Slots: 64, ServiceTime: func(*http.Request) time.Duration { return 0 }}, nil)
	f.Add("Dogwoodroute-Deadline-Ms", "1", "Connection", "Dogwoodroute-Attempt")
	f.Add("Dogwoodroute-Request-Id", "\x00", "dogwoodroute-attempt", "9999999999999999999")
	f.Add("Upgrade", "", "Transfer-Encoding", "chunked")
	f.Fuzz(func(t *testing.T, name, value, name2, value2 string) {
		r := httptest.NewRequest(http.MethodGet, "/echo", nil)
		r.Header[http.CanonicalHeaderKey(name)] = []string{value}
		r.Header[name2] = append(r.Header[name2], value2)
		w := httptest.NewRecorder()
		served.entry.ServeHTTP(w, r)
		answered := w.Header().Get("Dogwoodroute-Answered-By") == "target"
		refused := w.Header().Get("Dogwoodroute-Refusal") != ""
		if answered == refused || w.Header().Get("Dogwoodroute-Request-Id") == "" || strings.ContainsAny(w.Header().Get("Dogwoodroute-Request-Id"), " \r\n\x00") {
			t.Fatalf("invalid response: status %d, header %v", w.Code, w.Header())
		}
	})
}
