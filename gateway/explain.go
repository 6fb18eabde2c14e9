package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
	"github.com/dogwoodroute/dogwoodroute/placement"
)

// Explanation tells where a request would go now, and why. Times are in milliseconds.
type Explanation struct {
	ConfigVersion int64  `json:"config_version"`
	Route         string `json:"route"`
	Prefix        string `json:"prefix"`
	Rank          int    `json:"rank"`
	Idempotent    bool   `json:"idempotent"`
	// Regions are the only regions in which the request may be handled; none: all.
	Regions []string `json:"regions,omitempty"`
	// ObjectiveMS is 0 if the route has none. TimeoutMS is the time until the final response
	// at the latest.
	ObjectiveMS float64 `json:"objective_ms"`
	TimeoutMS   float64 `json:"timeout_ms"`
	// Evacuated are the failure domains whose targets get no new requests.
	Evacuated []string             `json:"evacuated_domains,omitempty"`
	Services  []ServiceExplanation `json:"services"`
}

// ServiceExplanation is one of the services to which the route sends requests.
type ServiceExplanation struct {
	Service string `json:"service"`
	// Share is the part of the route's requests, 0 to 1.
	Share float64 `json:"share"`
	// Targets is the number of targets that accept new requests.
	Targets     int     `json:"targets"`
	MeanWorkMS  float64 `json:"mean_work_ms"`
	MaxWaitMS   float64 `json:"max_wait_ms"`
	Requirement string  `json:"requirement"`
	// AdmittedShare is the share of the route's requests that are admitted in a shortage.
	AdmittedShare float64 `json:"admitted_share"`
	// Unreachable is true while no target answers this instance: another one gets the request,
	// and the rest holds only if there is none.
	Unreachable bool `json:"unreachable,omitempty"`
	// Refusal is the outcome with which the request would be refused now, after MaxWaitMS
	// for "no-room"; empty if a target would be chosen.
	Refusal    string                 `json:"refusal,omitempty"`
	Candidates []CandidateExplanation `json:"candidates"`
}

// CandidateExplanation is a target with the reason why it would be chosen or not.
type CandidateExplanation struct {
	Target        string  `json:"target"`
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	Slots         int     `json:"slots"`
	Slowness      float64 `json:"slowness"`
	// Predicted is true if the load is predicted. AgeMS is the age of the last report,
	// negative if there is none.
	Predicted  bool    `json:"predicted"`
	AgeMS      float64 `json:"age_ms"`
	ExpectedMS float64 `json:"expected_ms"`
	Chosen     bool    `json:"chosen"`
	Reason     string  `json:"reason,omitempty"`
}

// Errors of Explain.
var (
	errNoConfigInForce = errors.New("no configuration is in force")
	errNoMatchingRoute = errors.New("no route matches")
)

// Explain tells where a request for a host and a path would go now if its caller allows a
// time for the response, 0: no limit. It sends nothing and spends no budget. It fails if no
// route matches.
func (g *Gateway) Explain(ctx context.Context, host, path string, timeout time.Duration) (*Explanation, error) {
	view := g.options.View()
	if view.Config == nil {
		return nil, errNoConfigInForce
	}
	route := view.Routes.Match(host, path)
	if route == nil {
		return nil, errors.Wrapf(errNoMatchingRoute, "host %q, path %q, configuration version %d", host, path, view.Config.Version)
	}
	timeout = timeLimit(timeout, timeout > 0, route)
	x := &Explanation{ConfigVersion: view.Config.Version, Route: route.Name, Prefix: route.Prefix, Rank: route.Rank, Idempotent: route.Idempotent,
		Regions: route.Regions, ObjectiveMS: milliseconds(route.Objective), TimeoutMS: milliseconds(timeout), Evacuated: view.Evacuated}
	total := 0
	for _, s := range route.Services {
		total += s.Weight
	}
	for _, s := range route.Services {
		explained, err := g.scheduler.explain(ctx, route, s.Service, timeout)
		if err != nil {
			return nil, err
		}
		explained.Share = float64(s.Weight) / float64(max(1, total))
		x.Services = append(x.Services, explained)
	}
	return x, nil
}

// explain explains the placement of a request at one service.
func (s *scheduler) explain(ctx context.Context, route *catalog.Route, service string, timeout time.Duration) (ServiceExplanation, error) {
	return owner.Call(ctx, s.loop, func(now time.Duration) ServiceExplanation {
		r := &placement.Request{Route: route, Service: service, Arrived: now, Deadline: now + timeout}
		p := s.placer.Explain(now, r)
		x := ServiceExplanation{Service: service, Targets: p.Targets, MeanWorkMS: milliseconds(p.MeanWork), MaxWaitMS: milliseconds(p.MaxWait),
			Requirement: p.Requirement, AdmittedShare: p.AdmittedShare, Unreachable: s.placer.Unreachable(service)}
		x.Refusal = string(outcomeNoRoom)
		if !s.placer.HasTargets(route, service) {
			x.Refusal = string(outcomeNoTarget)
		}
		for _, c := range p.Candidates {
			if c.Chosen {
				x.Refusal = ""
			}
			x.Candidates = append(x.Candidates, CandidateExplanation{Target: c.Target.ID, Address: c.Target.Address,
				FailureDomain: c.Target.FailureDomain, Running: c.Load.Running, Waiting: c.Load.Waiting, Slots: c.Load.Slots,
				Slowness: c.Load.Slowness, Predicted: c.Predicted, AgeMS: milliseconds(c.Age), ExpectedMS: milliseconds(c.Expected),
				Chosen: c.Chosen, Reason: c.Reason})
		}
		return x
	})
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
