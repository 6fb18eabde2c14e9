package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

// contentTimeout bounds the transfer of one configuration of at most 1 MB.
const contentTimeout = 5 * time.Second

// ListedPeers waits until the platform's list has been read and returns the
// identifiers of the listed peers that are not dead.
func (t *Task) ListedPeers(ctx context.Context) ([]string, error) {
	select {
	case <-t.listRead:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for the list of instances")
	}
	listed := make(chan []string, 1)
	t.post(func(now time.Duration) { listed <- t.members.View(now).listedPeers })
	select {
	case ids := <-listed:
		return ids, nil
	case <-t.done:
		return nil, errors.New("list of instances: membership task has stopped")
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for the list of instances")
	}
}

// QueryVersion exchanges states with a peer immediately and returns the version
// and digest of the peer's configuration. The version is 0 if it has none.
func (t *Task) QueryVersion(ctx context.Context, peer string) (uint64, string, error) {
	p, err := t.peer("exchange", peer)
	if err != nil {
		return 0, "", err
	}
	messages := make(chan *peerapi.State, 1)
	var started time.Duration
	t.post(func(now time.Duration) { started = now; messages <- t.message(now, false) })
	select {
	case message := <-messages:
		response, err := t.exchange(ctx, started, p, message)
		return response.GetConfigurationVersion(), response.GetConfigurationDigest(), err
	case <-t.done:
		return 0, "", errors.New("exchange: membership task has stopped")
	case <-ctx.Done():
		return 0, "", errors.Wrapf(ctx.Err(), "exchange with %s", peer)
	}
}

// Content fetches the document of a configuration version from a peer. It fails
// if the peer does not have this version in force.
func (t *Task) Content(ctx context.Context, peer string, version uint64) ([]byte, error) {
	p, err := t.peer("content", peer)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, contentTimeout)
	defer cancel()
	response, err := call(ctx, t.clients, p, "content", func(ctx context.Context, c peerapi.PeerClient) (*peerapi.ContentResponse, error) {
		return c.Content(ctx, &peerapi.ContentRequest{Sender: t.options.Self.ID, Version: version})
	})
	return response.GetDocument(), err
}

// Settle requests the outcome of a ticket from the peer that issued it.
func (t *Task) Settle(ctx context.Context, p Peer, ticket []byte) (*peerapi.SettleResponse, error) {
	return call(ctx, t.clients, p, "settle", func(ctx context.Context, c peerapi.PeerClient) (*peerapi.SettleResponse, error) {
		return c.Settle(ctx, &peerapi.SettleRequest{Sender: t.options.Self.ID, Ticket: ticket})
	})
}

// Trial acquires a trial from a peer or releases one. It sets the request's sender.
func (t *Task) Trial(ctx context.Context, p Peer, request *peerapi.TrialRequest) (*peerapi.TrialResponse, error) {
	request.Sender = t.options.Self.ID
	return call(ctx, t.clients, p, "trial", func(ctx context.Context, c peerapi.PeerClient) (*peerapi.TrialResponse, error) {
		return c.Trial(ctx, request)
	})
}

// Notify sends the notices to all peers that are not dead and waits for their
// responses until the context ends. It returns the number of peers that
// acknowledged the notices and the number of peers that they were sent to.
func (t *Task) Notify(ctx context.Context, notices []*peerapi.Notice) (acknowledged, sent int) {
	request := &peerapi.NotifyRequest{Sender: t.options.Self.ID, Notices: notices}
	var acknowledgements atomic.Int64
	var group sync.WaitGroup
	for _, p := range t.View().Peers {
		if p.Liveness == Dead || p.PeerAddress == "" {
			continue
		}
		sent++
		group.Go(func() {
			_, err := call(ctx, t.clients, p, "notify", func(ctx context.Context, c peerapi.PeerClient) (*peerapi.NotifyResponse, error) {
				return c.Notify(ctx, request)
			})
			if err == nil {
				acknowledgements.Add(1)
			}
		})
	}
	group.Wait()
	return int(acknowledgements.Load()), sent
}

// peer returns the peer with the given identifier, or a *CallError with the given
// step if its address is unknown.
func (t *Task) peer(step, id string) (Peer, error) {
	p, found := t.View().Peer(id)
	if !found || p.PeerAddress == "" {
		return Peer{}, &CallError{Step: step, Peer: id, Err: errors.New("peer address is unknown")}
	}
	return p, nil
}
