package replay

import "time"

// retryWindowSpan is the period over which the share of retries is measured.
const retryWindowSpan = 10 * time.Second

// minWindowRequests is the number of requests from which on a window counts. In
// smaller ones a single retry is already a large share.
const minWindowRequests = 100

// retryWindow measures the ratio of retries and hedged attempts to requests in a
// sliding window and keeps its peak.
type retryWindow struct {
	requests, extra []time.Duration
	peakShare       float64
}

func (w *retryWindow) addRequest(now time.Duration) { w.requests = append(w.requests, now) }

func (w *retryWindow) addExtraAttempt(now time.Duration) {
	w.extra = append(w.extra, now)
	w.requests = dropBefore(w.requests, now-retryWindowSpan)
	w.extra = dropBefore(w.extra, now-retryWindowSpan)
	if len(w.requests) >= minWindowRequests {
		w.peakShare = max(w.peakShare, float64(len(w.extra))/float64(len(w.requests)))
	}
}

func dropBefore(times []time.Duration, limit time.Duration) []time.Duration {
	n := 0
	for n < len(times) && times[n] < limit {
		n++
	}
	return times[n:]
}
