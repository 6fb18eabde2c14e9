package admin

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"time"
)

// Paths of the API.
const (
	PathStatus   = "/status"
	PathTimeline = "/timeline"
	PathMetrics  = "/metrics"
	PathHealth   = "/healthz"
)

// handler serves the API of one instance.
type handler struct{ options Options }

// Handler returns the handler of the administration API. It is safe for concurrent
// use.
func Handler(o Options) http.Handler {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	h := &handler{options: o}
	mux := http.NewServeMux()
	mux.HandleFunc(PathStatus, h.serveStatus)
	mux.HandleFunc(PathTimeline, h.serveTimeline)
	mux.Handle(PathMetrics, o.Metrics)
	mux.HandleFunc(PathHealth, h.serveHealth)
	return readOnly(mux)
}

// readOnly responds to every method but GET with status 405.
func readOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			http.Error(w, "the administration API is read-only", http.StatusMethodNotAllowed)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (h *handler) serveStatus(w http.ResponseWriter, _ *http.Request) {
	h.writeJSON(w, http.StatusOK, h.options.Status())
}

// writeJSON sends a value as a JSON response.
func (h *handler) writeJSON(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil { // NaN and infinities have no JSON encoding
		h.options.Log.Error("administration API: encode response", "error", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	if _, err := w.Write(append(text, '\n')); err != nil {
		h.options.Log.Debug("administration API: send response", "error", err)
	}
}
