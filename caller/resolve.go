package caller

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/transport"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

const (
	// maxAskBytes bounds the answer of a resolve or tickets call.
	maxAskBytes = 1 << 20
	// avoidFor is how long an instance that failed is chosen only when no other is left.
	avoidFor = time.Second
)

// resolver keeps the resolve answer.
type resolver struct {
	client *Client

	mu       sync.Mutex
	answer   entry.Resolution
	expires  time.Time
	renewAt  time.Time
	renewing chan struct{} // closed when the running renewal ends; nil without one
	lastErr  error
	avoid    map[string]time.Time // by address
}

// get returns a valid answer. An answer that soon expires is renewed in the
// background, so that few requests wait for it.
func (r *resolver) get(ctx context.Context) (entry.Resolution, error) {
	r.mu.Lock()
	now := time.Now()
	valid, answer := now.Before(r.expires), r.answer
	if valid && now.Before(r.renewAt) {
		r.mu.Unlock()
		return answer, nil
	}
	if r.renewing == nil {
		r.renewing = make(chan struct{})
		r.client.tasks.Go(r.renew)
	}
	renewed := r.renewing
	r.mu.Unlock()
	if valid {
		return answer, nil
	}
	select {
	case <-renewed:
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.answer, r.lastErr
	case <-ctx.Done():
		return entry.Resolution{}, errors.Wrap(ctx.Err(), "resolve")
	}
}

// renew asks seeds and known instances in random order until one answers.
func (r *resolver) renew() {
	answer, began, err := r.ask()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastErr = err
	if err == nil {
		validity := time.Duration(answer.ValidForMillis) * time.Millisecond
		r.answer, r.expires, r.renewAt = answer, began.Add(validity), began.Add(validity*3/4)
	}
	close(r.renewing)
	r.renewing = nil
}

func (r *resolver) ask() (answer entry.Resolution, began time.Time, err error) {
	failures := []error{errors.New("no instance answered")}
	path := wire.PathResolve + "?failure_domain=" + url.QueryEscape(r.client.options.FailureDomain)
	for _, address := range r.addresses() {
		began = time.Now() // the validity starts before the instance answers
		err = r.client.ask(r.client.life, address, http.MethodGet, path, &answer)
		if err == nil && len(answer.Instances) > 0 {
			return answer, began, nil
		}
		if err == nil {
			err = errors.New("the answer names no instance")
		}
		failures = append(failures, errors.Wrapf(err, "resolve at %s", address))
		if r.client.life.Err() != nil {
			break
		}
	}
	return entry.Resolution{}, began, errors.Join(failures...)
}

// addresses returns seeds and known instances, each once, in random order.
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
	for _, instance := range r.answer.Instances {
		add(instance.Address)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// failed makes an instance the last choice for a while.
func (r *resolver) failed(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for other, until := range r.avoid {
		if now.After(until) {
			delete(r.avoid, other)
		}
	}
	r.avoid[address] = now.Add(avoidFor)
}

// choose picks an instance with probability proportional to its weight, among
// those that were not tried and did not fail, if there are any.
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
		if now.Before(r.avoid[instance.Address]) {
			rank = max(rank, 1)
		}
		weight := max(instance.Weight, 1e-9) // also chosen when nothing else is left
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

// ask makes a call that an instance answers itself and decodes its JSON.
func (c *Client) ask(ctx context.Context, address, method, path string, to any) error {
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
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAskBytes+1))
	switch {
	case err != nil:
		return err
	case response.StatusCode != http.StatusOK:
		return errors.Errorf("status %d", response.StatusCode)
	case len(text) > maxAskBytes:
		return errors.New("the answer is too large")
	}
	if err = json.Unmarshal(text, to); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}
