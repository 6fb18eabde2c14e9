package admin

import (
	"net/http"

	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// MaxEvents bounds the number of events in one response of /timeline. At about 200
// bytes per event, a response has up to 4 MB.
const MaxEvents = 20000

func (h *handler) serveTimeline(w http.ResponseWriter, r *http.Request) {
	filter, err := timeline.ParseQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	events := h.options.Timeline.Select(filter)
	omitted := max(0, len(events)-MaxEvents)
	h.writeJSON(w, http.StatusOK, timeline.Page{Instance: h.options.Instance, Now: h.options.Now(),
		Lost: h.options.Timeline.Lost(), Omitted: uint64(omitted), Events: events[omitted:]})
}
