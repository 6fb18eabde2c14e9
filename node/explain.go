package node

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodroute/dogwoodroute/gateway"
)

// explainError is the body of a response of explain that explains nothing.
type explainError struct {
	Error string `json:"error"`
}

// operatorsHandler serves the metrics port: metrics, and for GET /explain where a request
// would go now, with the query parameters host, path and timeout_ms. Callers do not reach
// this port.
func (n *Node) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", n.metrics)
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, r *http.Request) { explain(n.gateway, w, r) })
	return mux
}

func explain(g *gateway.Gateway, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	timeout := 0.0
	if text := query.Get("timeout_ms"); text != "" {
		var err error
		if timeout, err = strconv.ParseFloat(text, 64); err != nil || !(timeout >= 0 && timeout < 1e9) {
			writeExplanation(w, http.StatusBadRequest, explainError{"timeout_ms " + strconv.Quote(text) + " is not a number of milliseconds"})
			return
		}
	}
	explanation, err := g.Explain(r.Context(), query.Get("host"), query.Get("path"), time.Duration(timeout*float64(time.Millisecond)))
	if err != nil {
		writeExplanation(w, http.StatusNotFound, explainError{err.Error()})
		return
	}
	writeExplanation(w, http.StatusOK, explanation)
}

func writeExplanation(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the operator sees that the answer is not whole
}
