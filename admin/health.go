package admin

import (
	"net/http"
	"time"
)

// Health is the response of /healthz.
type Health struct {
	Instance string `json:"instance"`
	State    State  `json:"state"`
	// Now is the instance's wall clock when it sent the response. Readers of the
	// time line compare it with their own clock.
	Now time.Time `json:"now"`
}

func (h *handler) serveHealth(w http.ResponseWriter, _ *http.Request) {
	state := h.options.Status().Instance.State
	code := http.StatusServiceUnavailable
	if state == Serving {
		code = http.StatusOK
	}
	h.writeJSON(w, code, Health{Instance: h.options.Instance, State: state, Now: h.options.Now()})
}
