// Package admin provides the read-only administration API of an instance and a
// client that queries several instances concurrently.
//
// GET /status returns a Status, GET /timeline a timeline.Page, and GET /metrics
// the metrics in the Prometheus text format. GET /healthz returns a Health, with
// status 200 while the instance serves and 503 otherwise. The API changes
// nothing; operators change the system through the tables of routes and pools.
package admin
