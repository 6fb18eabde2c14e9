package membership

import "time"

// Token bucket of pushes. Changes of state are also sent in the rounds, so a push
// that has to wait for a token delays a change but does not lose it.
const (
	pushBurst  = 5
	pushRefill = 2 * time.Second
)

// pusher rate-limits pushes: exchanges outside the rounds that spread a change of
// state at once.
type pusher struct {
	pending    bool
	tokens     int
	refilledAt time.Duration
}

func newPusher() pusher { return pusher{tokens: pushBurst} }

// request schedules a push.
func (p *pusher) request() { p.pending = true }

// cancel cancels a scheduled push, because a round has sent the change.
func (p *pusher) cancel() { p.pending = false }

// due reports whether a scheduled push can be sent now, and takes a token for it.
func (p *pusher) due(now time.Duration) bool {
	if n := int((now - p.refilledAt) / pushRefill); n > 0 {
		p.tokens = min(p.tokens+n, pushBurst)
		p.refilledAt += time.Duration(n) * pushRefill
	}
	if !p.pending || p.tokens == 0 {
		return false
	}
	p.tokens--
	p.pending = false
	return true
}
