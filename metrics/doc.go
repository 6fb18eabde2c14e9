// Package metrics holds the counters, gauges and latency histograms of one instance.
// It uses tally and serves them over HTTP in the Prometheus text format.
package metrics
