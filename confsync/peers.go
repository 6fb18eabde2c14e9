package confsync

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
)

// syncWithPeers is run at the start. It queries all listed peers that are not
// dead, until each has responded or StartWait has passed.
func (s *Syncer) syncWithPeers(ctx context.Context) {
	if s.options.Peers != nil {
		wait, cancel := context.WithTimeout(ctx, s.options.StartWait)
		defer cancel()
		peers, err := s.options.Peers.ListedPeers(wait)
		if err == nil { // an error means that the wait is over
			var group sync.WaitGroup
			for _, peer := range peers {
				group.Go(func() { s.syncWithPeer(wait, peer) })
			}
			group.Wait()
		}
	}
	s.post(func(context.Context) { s.peersQueried = true })
}

// retryPause is the first pause before a peer is queried again at the start.
const retryPause = 50 * time.Millisecond

// syncWithPeer queries a peer until it has responded and, if it has a higher
// version, the document of that version has been fetched.
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

// fetchAnnounced fetches an announced document and offers it to the state, unless
// the state does not need it. It reports false if the fetch failed and has to be
// retried.
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

// startFetch starts to fetch an announced document if the state needs it. One
// fetch runs at a time; of the announcements that arrive meanwhile, the one with
// the highest version is fetched next.
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
		s.fetchAnnounced(ctx, a) // not retried, because the peer repeats its announcement
		s.post(func(ctx context.Context) {
			s.fetching = false
			if next := s.pendingFetch; next != nil {
				s.pendingFetch = nil
				s.startFetch(ctx, *next)
			}
		})
	})
}
