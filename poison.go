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

// poisonGuard connects the request path to the poison task.
type poisonGuard struct {
	*Instance
	attempts atomic.Uint64
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

// notifier tells peers of notices.
type notifier struct{ *Instance }

// Broadcast implements poison.Peers.
func (n notifier) Broadcast(ctx context.Context, list []poison.Notice) error {
	messages := make([]*peerapi.Notice, len(list))
	for k := range list {
		messages[k] = noticeMessage(&list[k])
	}
	if confirmed, contacted := n.members.Notify(ctx, messages); confirmed < contacted {
		return errors.Errorf("notify peers: %d of %d confirmed", confirmed, contacted)
	}
	return nil
}

func noticeMessage(n *poison.Notice) *peerapi.Notice {
	return &peerapi.Notice{Fingerprint: n.Fingerprint[:], Id: n.ID, State: uint32(n.State), Strike: n.CrashedTarget,
		ExpiresMs: n.Expires.Milliseconds()}
}

// noticeExchange takes noticeExchange from peers and gives them what is known here.
type noticeExchange struct{ *Instance }

// noticeTimeout bounds a message to the poison task.
const noticeTimeout = time.Second

// ReceiveNotices implements membership.Notices.
func (n noticeExchange) ReceiveNotices(_ string, messages []*peerapi.Notice) {
	list := make([]poison.Notice, 0, len(messages))
	for _, m := range messages {
		if len(m.GetFingerprint()) != len(poison.Fingerprint{}) || m.GetState() < uint32(poison.StateSuspect) || m.GetState() > uint32(poison.StateCleared) {
			continue // from a newer or faulty instance
		}
		list = append(list, poison.Notice{Fingerprint: poison.Fingerprint(m.GetFingerprint()), ID: m.GetId(),
			State: poison.State(m.GetState()), CrashedTarget: m.GetStrike(), Expires: time.Duration(m.GetExpiresMs()) * time.Millisecond})
	}
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	_ = n.poison.Merge(ctx, list...) // fails only at the end of a stop
}

// NoticesToSend implements membership.Notices. All records fit, because few requests
// crash targets; the limit only bounds the message.
func (n noticeExchange) NoticesToSend(limit int) []*peerapi.Notice {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	list, err := n.poison.Notices(ctx)
	if err != nil {
		return nil
	}
	messages := make([]*peerapi.Notice, 0, min(limit, len(list)))
	for k := range list[:min(limit, len(list))] {
		messages = append(messages, noticeMessage(&list[k]))
	}
	return messages
}

// trialClient asks the coordinator of a key, which may be this instance.
type trialClient struct{ *Instance }

// Acquire implements poison.Trials.
func (l trialClient) Acquire(ctx context.Context, key poison.Fingerprint) (bool, error) {
	response, err := l.call(ctx, &peerapi.TrialRequest{Action: peerapi.TrialAction_TRIAL_ACTION_ACQUIRE, Key: key[:]})
	return response.GetGranted(), err
}

// Release implements poison.Trials.
func (l trialClient) Release(ctx context.Context, key poison.Fingerprint, v poison.Verdict) error {
	_, err := l.call(ctx, &peerapi.TrialRequest{Action: peerapi.TrialAction_TRIAL_ACTION_RELEASE, Key: key[:], Verdict: uint32(v)})
	return err
}

func (l trialClient) call(ctx context.Context, request *peerapi.TrialRequest) (*peerapi.TrialResponse, error) {
	view := l.members.View()
	coordinator := poison.CoordinatorOf(poison.Fingerprint(request.GetKey()), view.Members)
	if coordinator == l.settings.ID {
		request.Sender = coordinator
		return trialCoordinator(l).Trial(ctx, request)
	}
	peer, ok := view.Peer(coordinator)
	if !ok {
		return nil, errors.Errorf("trial: coordinator %q is not known", coordinator)
	}
	return l.members.Trial(ctx, peer, request)
}

// trialCoordinator grants leases to instances.
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
