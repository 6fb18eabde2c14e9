package confsync

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
)

// syncWithPeers asks all live listed peers at a start, until each has answered or the
// wait is over.
func (s *Syncer) syncWithPeers(ctx context.Context) {
	if s.options.Peers != nil {
		wait, cancel := context.WithTimeout(ctx, s.options.StartWait)
		defer cancel()
		peers, err := s.options.Peers.ListedPeers(wait)
		if err == nil { // otherwise the wait is over
			var group sync.WaitGroup
			for _, peer := range peers {
				group.Go(func() { s.syncWithPeer(wait, peer) })
			}
			group.Wait()
		}
	}
	s.post(func(context.Context) { s.peersQueried = true })
}

// retryPause is the first pause before a peer is asked again at a start.
const retryPause = 50 * time.Millisecond

// syncWithPeer repeats until the peer answered and, if it has a higher version, sent it.
func (s *Syncer) syncWithPeer(ctx context.Context, peer string) {
	pauses := backoff.Backoff{Min: retryPause, Max: time.Second}
	for ctx.Err() == nil {
		version, digest, err := s.options.Peers.QueryVersion(ctx, peer)
		if err == nil {
			announcement := Announcement{Peer: peer, Version: version, Digest: digest}
			if version == 0 || s.fetchAnnounced(ctx, announcement) {
				return
			}
		}
		backoff.Sleep(ctx, pauses.Next())
	}
}

// fetchAnnounced takes an announced document if it is wanted, and reports whether the
// announcement needs no further attempt.
func (s *Syncer) fetchAnnounced(ctx context.Context, a Announcement) bool {
	decision := make(chan bool, 1)
	s.post(func(context.Context) { decision <- s.state.ShouldFetch(a) })
	select {
	case yes := <-decision:
		if !yes {
			return true
		}
	case <-ctx.Done():
		return false
	}
	data, err := s.options.Peers.Content(ctx, a.Peer, a.Version)
	if err != nil {
		return false
	}
	offered := make(chan struct{})
	s.post(func(context.Context) {
		s.state.Offer(Origin{Peer: a.Peer}, data, &a)
		close(offered)
	})
	select {
	case <-offered:
	case <-s.done:
	}
	return true
}

// startFetch fetches a higher version. One fetch runs at a time; the highest
// announcement that arrives during it comes next.
func (s *Syncer) startFetch(ctx context.Context, a Announcement) {
	if s.options.Peers == nil || !s.state.ShouldFetch(a) {
		return
	}
	if s.fetching {
		if s.pendingFetch == nil || a.Version > s.pendingFetch.Version {
			s.pendingFetch = &a
		}
		return
	}
	s.fetching = true
	s.work.Go(func() {
		s.fetchAnnounced(ctx, a) // after a failure the peer's next announcement counts
		s.post(func(ctx context.Context) {
			s.fetching = false
			if next := s.pendingFetch; next != nil {
				s.pendingFetch = nil
				s.startFetch(ctx, *next)
			}
		})
	})
}
