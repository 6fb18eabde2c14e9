package membership

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

// exchangeTimeout bounds one exchange. It is far above the one-way latency
// between failure domains (1.5 ms) and below SuspectAfter.
const exchangeTimeout = time.Second

// tick starts the exchanges that are due.
func (t *Task) tick(ctx context.Context, now time.Duration) {
	peers := t.members.Tick(now)
	if len(peers) == 0 {
		return
	}
	message := t.message(now, false)
	for _, peer := range peers {
		t.calls.Go(func() {
			if _, err := t.exchange(ctx, now, peer, message); err != nil {
				t.post(func(time.Duration) { t.members.EndExchange(peer.ID) })
			}
		})
	}
	t.clients.prune(t.members.addresses())
}

// message returns the state to send to a peer, with notices of suspected
// requests. full includes everything known. Called only by the task.
func (t *Task) message(now time.Duration, full bool) *peerapi.State {
	message := t.members.Message(now, full)
	if t.options.Notices != nil {
		limit := noticeEntries
		if full {
			limit = fullNoticeEntries
		}
		message.Notices = t.options.Notices.NoticesToSend(limit)
	}
	return message
}

// exchange sends the state to a peer, processes the state that the peer responds
// with, and returns it. started is the time at which the exchange was started.
func (t *Task) exchange(ctx context.Context, started time.Duration, p Peer, message *peerapi.State) (*peerapi.State, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := call(ctx, t.clients, p, "exchange", func(ctx context.Context, c peerapi.PeerClient) (*peerapi.State, error) {
		return c.Exchange(ctx, message)
	})
	if err != nil {
		return nil, err
	}
	t.post(func(now time.Duration) {
		t.members.HandleResponse(now, started, p.ID, response)
		t.reportAnnouncement(response)
	})
	t.deliverNotices(response.GetId(), response.GetNotices())
	return response, nil
}

// reportAnnouncement passes on the configuration that a peer has in force.
func (t *Task) reportAnnouncement(s *peerapi.State) {
	if t.options.OnAnnouncement != nil && s.GetConfigurationVersion() > 0 {
		t.options.OnAnnouncement(s.GetId(), s.GetConfigurationVersion(), s.GetConfigurationDigest())
	}
}

func (t *Task) deliverNotices(sender string, notices []*peerapi.Notice) {
	if t.options.Notices != nil && len(notices) > 0 {
		t.options.Notices.ReceiveNotices(sender, notices)
	}
}
