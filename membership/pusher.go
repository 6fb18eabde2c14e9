package membership

import "time"

// Bounds of exchanges outside the rounds. News also travels with each round,
// so a push that waits for a token costs time, not knowledge.
const (
	pushBurst  = 5
	pushRefill = 2 * time.Second
)

// pusher decides when news is sent outside the rounds.
type pusher struct {
	pending    bool
	tokens     int
	refilledAt time.Duration
}

func newPusher() pusher { return pusher{tokens: pushBurst} }

// request asks for a push.
func (p *pusher) request() { p.pending = true }

// clear records that a round carried the news.
func (p *pusher) clear() { p.pending = false }

// due takes a token for a wanted push.
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
