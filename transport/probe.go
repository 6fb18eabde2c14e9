package transport

import (
	"context"
	"io"
	"net/http"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// maxProbeBodyBytes limits the part of the body of a probe response that is read. The body
// is ignored, and the connection is closed if there is more.
const maxProbeBodyBytes = 4 << 10

// Probe requests a target's load report. The result is not OK if the probe fails,
// takes longer than Options.ProbeTimeout, or returns a status other than 200.
func (c *Client) Probe(ctx context.Context, target, address string) balancer.ProbeResult {
	result := balancer.ProbeResult{Target: target, Sent: c.options.Now()}
	ctx, cancel := context.WithTimeout(ctx, c.options.ProbeTimeout)
	defer cancel()
	response, err := c.Do(ctx, &Attempt{Target: target, Address: address, Method: http.MethodGet, URI: wire.PathProbe,
		Header: http.Header{wire.HeaderTarget: {target}}})
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	if _, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBodyBytes)); err != nil || response.StatusCode != http.StatusOK {
		return result
	}
	result.OK = true
	result.Report = ReportOf(response.Header)
	return result
}

// ReportOf returns the load and state that a target reports in its response
// headers. A missing or malformed load leaves HasLoad false.
func ReportOf(h http.Header) balancer.Report {
	load, err := wire.ParseLoad(h.Get(wire.HeaderTargetLoad))
	return balancer.Report{Load: load, HasLoad: err == nil, State: wire.TargetState(h.Get(wire.HeaderTargetState))}
}
