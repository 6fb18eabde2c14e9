package dogwoodroute

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/poison"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// poisonGuard implements entry.Guard with the poison task.
type poisonGuard struct {
	*Instance
	attempts atomic.Uint64 // source of attempt IDs
}

// Check implements entry.Guard.
func (g *poisonGuard) Check(ctx context.Context, f entry.Fingerprint) *refusal.Refusal {
	return g.poison.Check(ctx, f)
}

// Admit implements entry.Guard.
func (g *poisonGuard) Admit(ctx context.Context, f entry.Fingerprint, target string) (entry.Permit, *refusal.Refusal) {
	permit, refused := g.poison.Admit(ctx, f, target)
	if refused != nil {
		return entry.Permit{}, refused
	}
	attempt := poison.Attempt{ID: g.attempts.Add(1), Fingerprint: f, Target: target, Trial: permit.Trial}
	g.poison.Started(attempt)
	return entry.Permit{Deadline: permit.Deadline, NewConnection: permit.Trial,
		Ended: func(o balancer.Outcome) { g.poison.Ended(context.Background(), attempt, o) }}, nil
}

// notifier implements poison.Peers: it sends notices to all peers.
type notifier struct{ *Instance }

// Broadcast implements poison.Peers.
func (n notifier) Broadcast(ctx context.Context, list []poison.Notice) error {
	messages := make([]*peerapi.Notice, len(list))
	for k := range list {
		messages[k] = noticeMessage(&list[k])
	}
	if confirmed, contacted := n.members.Notify(ctx, messages); confirmed < contacted {
		return errors.Errorf("send notices to peers: %d of %d confirmed", confirmed, contacted)
	}
	return nil
}

func noticeMessage(n *poison.Notice) *peerapi.Notice {
	return &peerapi.Notice{Fingerprint: n.Fingerprint[:], Id: n.ID, State: uint32(n.State), Strike: n.CrashedTarget,
		ExpiresMs: n.Expires.Milliseconds()}
}

// noticeExchange implements membership.Notices: it passes notices between the
// poison task and the gossip messages of peers.
type noticeExchange struct{ *Instance }

// noticeTimeout bounds a call to the poison task.
const noticeTimeout = time.Second

// ReceiveNotices implements membership.Notices.
func (n noticeExchange) ReceiveNotices(_ string, messages []*peerapi.Notice) {
	list := make([]poison.Notice, 0, len(messages))
	for _, m := range messages {
		if len(m.GetFingerprint()) != len(poison.Fingerprint{}) || m.GetState() < uint32(poison.StateSuspect) || m.GetState() > uint32(poison.StateCleared) {
			continue // sent by a newer version of the software or by a faulty instance
		}
		list = append(list, poison.Notice{Fingerprint: poison.Fingerprint(m.GetFingerprint()), ID: m.GetId(),
			State: poison.State(m.GetState()), CrashedTarget: m.GetStrike(), Expires: time.Duration(m.GetExpiresMs()) * time.Millisecond})
	}
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	_ = n.poison.Merge(ctx, list...) // fails only on a timeout or when the task has ended
}

// NoticesToSend implements membership.Notices.
func (n noticeExchange) NoticesToSend(limit int) []*peerapi.Notice {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	list, err := n.poison.SomeNotices(ctx, limit)
	if err != nil {
		return nil
	}
	messages := make([]*peerapi.Notice, 0, len(list))
	for k := range list {
		messages = append(messages, noticeMessage(&list[k]))
	}
	return messages
}

// trialClient implements poison.Trials: it calls the coordinator of a key, which
// may be this instance.
type trialClient struct{ *Instance }

// Acquire implements poison.Trials.
func (c trialClient) Acquire(ctx context.Context, key poison.Fingerprint) (bool, error) {
	response, err := c.call(ctx, &peerapi.TrialRequest{Action: peerapi.TrialAction_TRIAL_ACTION_ACQUIRE, Key: key[:]})
	return response.GetGranted(), err
}

// Release implements poison.Trials.
func (c trialClient) Release(ctx context.Context, key poison.Fingerprint, v poison.Verdict) error {
	_, err := c.call(ctx, &peerapi.TrialRequest{Action: peerapi.TrialAction_TRIAL_ACTION_RELEASE, Key: key[:], Verdict: uint32(v)})
	return err
}

func (c trialClient) call(ctx context.Context, request *peerapi.TrialRequest) (*peerapi.TrialResponse, error) {
	view := c.members.View()
	coordinator := poison.CoordinatorOf(poison.Fingerprint(request.GetKey()), view.Members)
	if coordinator == c.settings.ID {
		request.Sender = coordinator
		return trialCoordinator(c).Trial(ctx, request)
	}
	peer, ok := view.Peer(coordinator)
	if !ok {
		return nil, errors.Errorf("request trial: coordinator %q is not a known instance", coordinator)
	}
	return c.members.Trial(ctx, peer, request)
}

// trialCoordinator implements membership.Trials: it grants trials to instances.
type trialCoordinator struct{ *Instance }

// Trial implements membership.Trials.
func (t trialCoordinator) Trial(ctx context.Context, request *peerapi.TrialRequest) (*peerapi.TrialResponse, error) {
	if len(request.GetKey()) != len(poison.Fingerprint{}) {
		return nil, errors.Errorf("trial for %s: key has %d bytes", request.GetSender(), len(request.GetKey()))
	}
	key := poison.Fingerprint(request.GetKey())
	if request.GetAction() == peerapi.TrialAction_TRIAL_ACTION_RELEASE {
		err := t.poison.Release(ctx, key, request.GetSender(), poison.Verdict(request.GetVerdict()))
		return &peerapi.TrialResponse{}, err
	}
	granted, err := t.poison.Grant(ctx, key, request.GetSender())
	return &peerapi.TrialResponse{Granted: granted}, err
}
