package caller

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/transport"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

const (
	// maxControlResponseBytes limits the response to a resolve or tickets call.
	maxControlResponseBytes = 1 << 20
	// avoidDuration is the time after a failure during which an instance is chosen
	// only if there is no better one.
	avoidDuration = time.Second
)

// resolver caches the response to the resolve call and chooses instances.
type resolver struct {
	client *Client

	mu         sync.Mutex
	resolution entry.Resolution
	expires    time.Time
	renewAt    time.Time
	renewing   chan struct{} // closed when the running renewal ends; nil without one
	lastErr    error
	avoidUntil map[string]time.Time // end of avoidance, by address
}

// get returns a valid resolution. One that expires soon is renewed in the
// background, so that few requests wait for the renewal.
func (r *resolver) get(ctx context.Context) (entry.Resolution, error) {
	r.mu.Lock()
	now := time.Now()
	valid, resolution := now.Before(r.expires), r.resolution
	if valid && now.Before(r.renewAt) {
		r.mu.Unlock()
		return resolution, nil
	}
	if r.renewing == nil {
		r.renewing = make(chan struct{})
		r.client.background.Go(r.renew)
	}
	renewed := r.renewing
	r.mu.Unlock()
	if valid {
		return resolution, nil
	}
	select {
	case <-renewed:
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.resolution, r.lastErr
	case <-ctx.Done():
		return entry.Resolution{}, errors.Wrap(ctx.Err(), "resolve")
	}
}

// renew resolves once, stores the resolution or the error, and closes renewing.
func (r *resolver) renew() {
	resolution, started, err := r.resolve()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastErr = err
	if err == nil {
		validity := time.Duration(resolution.ValidForMillis) * time.Millisecond
		r.resolution, r.expires, r.renewAt = resolution, started.Add(validity), started.Add(validity*3/4)
	}
	close(r.renewing)
	r.renewing = nil
}

// resolve calls seeds and known instances in random order until one returns
// instances. It returns the time at which that call started.
func (r *resolver) resolve() (resolution entry.Resolution, started time.Time, err error) {
	failures := []error{errors.New("no instance returned a resolution")}
	path := wire.PathResolve + "?failure_domain=" + url.QueryEscape(r.client.options.FailureDomain)
	for _, address := range r.addresses() {
		started = time.Now() // the validity counts from before the call, since the instance responds later
		err = r.client.controlCall(r.client.backgroundCtx, address, http.MethodGet, path, &resolution)
		if err == nil && len(resolution.Instances) > 0 {
			return resolution, started, nil
		}
		if err == nil {
			err = errors.New("the response contains no instances")
		}
		failures = append(failures, errors.Wrapf(err, "resolve at %s", address))
		if r.client.backgroundCtx.Err() != nil {
			break
		}
	}
	return entry.Resolution{}, started, errors.Join(failures...)
}

// addresses returns the addresses of seeds and known instances, each once, in
// random order.
func (r *resolver) addresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[string]bool)
	var addresses []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, seed := range r.client.options.Seeds {
		add(seed)
	}
	for _, instance := range r.resolution.Instances {
		add(instance.Address)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// markFailed makes choose avoid an instance for avoidDuration.
func (r *resolver) markFailed(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for other, until := range r.avoidUntil {
		if now.After(until) {
			delete(r.avoidUntil, other)
		}
	}
	r.avoidUntil[address] = now.Add(avoidDuration)
}

// hasAlternative reports whether there is an instance that was not tried and did not fail
// recently.
func (r *resolver) hasAlternative(instances []entry.ResolvedInstance, tried map[string]bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(instances, func(i entry.ResolvedInstance) bool { return !tried[i.Address] && !now.Before(r.avoidUntil[i.Address]) })
}

// choose returns an instance with a probability proportional to its weight. It
// prefers instances that this request has not tried and that did not fail recently,
// then those that failed recently, then those already tried.
func (r *resolver) choose(instances []entry.ResolvedInstance, tried map[string]bool) entry.ResolvedInstance {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	best, total := 3, 0.0
	chosen := instances[0]
	for _, instance := range instances {
		rank := 0
		if tried[instance.Address] {
			rank = 2
		}
		if now.Before(r.avoidUntil[instance.Address]) {
			rank = max(rank, 1)
		}
		weight := max(instance.Weight, 1e-9) // an instance of weight 0 is chosen if there is no other
		switch {
		case rank < best:
			best, total, chosen = rank, weight, instance
		case rank == best:
			if total += weight; rand.Float64()*total < weight {
				chosen = instance
			}
		}
	}
	return chosen
}

// controlCall makes a call that an instance handles itself and decodes the JSON
// response into to. A refusal is returned as a *refusal.Refusal.
func (c *Client) controlCall(ctx context.Context, address, method, path string, to any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.ControlTimeout)
	defer cancel()
	response, err := c.transport.Do(ctx, &transport.Attempt{Target: address, Address: address, Method: method, URI: path})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if refused := refusal.Parse(response); refused != nil {
		return refused
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxControlResponseBytes+1))
	switch {
	case err != nil:
		return err
	case response.StatusCode != http.StatusOK:
		return errors.Errorf("status %d", response.StatusCode)
	case len(text) > maxControlResponseBytes:
		return errors.New("the response is too large")
	}
	if err = json.Unmarshal(text, to); err != nil {
		return errors.Wrap(err, "decode response")
	}
	return nil
}
