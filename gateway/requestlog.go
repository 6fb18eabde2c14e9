package gateway

import (
	"fmt"
	"log/slog"
	"time"
)

// logRequest records the metrics of the request and logs one line with its outcome
// and, for each attempt, the target and the load report that led to its choice.
func (x *exchange) logRequest() {
	g := x.gateway
	took := g.options.Now() - x.arrived
	requestOutcome, level := outcomeCallerGone, slog.LevelInfo
	status := 0
	if x.response != nil {
		requestOutcome, status = x.response.outcome, x.response.status
	}
	if requestOutcome != outcomeServed {
		level = slog.LevelWarn
	}
	route := ""
	attributes := []slog.Attr{slog.String("id", x.id), slog.String("outcome", string(requestOutcome)), slog.Int("status", status),
		slog.Float64("took_ms", millis(took))}
	if x.view != nil && x.view.Config != nil {
		attributes = append(attributes, slog.Int64("config", x.view.Config.Version), slog.Uint64("era", x.view.Position.Era),
			slog.Uint64("revision", x.view.Position.Revision))
	}
	if x.request.Route != nil {
		route = x.request.Route.Name
		attributes = append(attributes, slog.String("route", route), slog.String("service", x.request.Service),
			slog.Float64("limit_ms", millis(x.deadline-x.arrived)))
	}
	if x.response != nil && x.response.retryAfter > 0 {
		attributes = append(attributes, slog.Float64("retry_after_ms", millis(x.response.retryAfter)))
	}
	if requestOutcome == outcomeNoRoom && x.request.Route != nil {
		attributes = append(attributes, slog.Any("asked", x.describeReports()),
			slog.Bool("service_unreachable", g.scheduler.unreachableServices()[x.request.Service]))
	}
	if x.relayed != nil {
		attributes = append(attributes, slog.Bool("relayed", true))
	}
	if x.failedTargets > 0 {
		attributes = append(attributes, slog.String("fingerprint", x.identity().Content.String()), slog.Int("failed_targets", x.failedTargets))
	}
	if x.writeErr != nil {
		attributes = append(attributes, slog.String("write_error", x.writeErr.Error()))
	}
	for _, a := range x.attempts {
		attributes = append(attributes, a.logGroup(x.arrived))
	}
	g.options.Metrics.Request(route, took)
	if requestOutcome != outcomeServed {
		g.options.Metrics.Refusal(string(requestOutcome))
	}
	g.options.Log.LogAttrs(x.caller.Context(), level, "request", attributes...)
}

// describeReports returns one text for each load report of a selection that found
// no target with capacity.
func (x *exchange) describeReports() []string {
	list := make([]string, 0, len(x.lastReports))
	for _, r := range x.lastReports {
		list = append(list, fmt.Sprintf("%s running=%d waiting=%d slots=%d slowness=%.2g age_ms=%.1f", r.Target.ID, r.Load.Running,
			r.Load.Waiting, r.Load.Slots, r.Load.Slowness, millis(x.gateway.options.Now()-r.At)))
	}
	return list
}

// logGroup returns the log fields of an attempt: its target and the load report that
// led to the choice, or the other instance, and its outcome.
func (a *attempt) logGroup(arrived time.Duration) slog.Attr {
	name := "attempt" + string(rune('0'+a.number))
	if a.peer.IsValid() {
		return a.outcomeGroup(name, []any{slog.String("peer", a.peer.String()), slog.Float64("sent_ms", millis(a.sentAt-arrived))})
	}
	return a.outcomeGroup(name, []any{slog.String("target", a.Target.ID), slog.String("address", a.Target.Address),
		slog.Float64("sent_ms", millis(a.sentAt-arrived)), slog.Int("running", a.Load.Running), slog.Int("waiting", a.Load.Waiting),
		slog.Float64("slowness", a.Load.Slowness), slog.Float64("load_age_ms", millis(a.Age)),
		slog.Float64("expected_ms", millis(a.Expected))})
}

// outcomeGroup returns the log fields of an attempt with those of its end.
func (a *attempt) outcomeGroup(name string, fields []any) slog.Attr {
	if !a.finished {
		return slog.Group(name, append(fields, slog.String("outcome", "cancelled"))...)
	}
	fields = append(fields, slog.String("outcome", string(a.outcome)), slog.Float64("took_ms", millis(a.endedAt-a.sentAt)))
	if a.err != nil {
		fields = append(fields, slog.String("error", a.err.Error()))
	}
	return slog.Group(name, fields...)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
