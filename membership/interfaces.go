package membership

import (
	"context"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

// Settler tells what became of a ticket of this incarnation. It is called by
// many goroutines.
type Settler interface {
	Settle(ctx context.Context, request *peerapi.SettleRequest) (*peerapi.SettleResponse, error)
}

// Trials grants the trials of suspected requests. It is called by many goroutines.
type Trials interface {
	Trial(ctx context.Context, request *peerapi.TrialRequest) (*peerapi.TrialResponse, error)
}

// Notices keeps what is known of suspected requests. It is called by many
// goroutines and must not block.
type Notices interface {
	// ReceiveNotices takes notices of a peer.
	ReceiveNotices(sender string, notices []*peerapi.Notice)
	// NoticesToSend returns at most limit notices to tell a peer, in turn over the calls.
	NoticesToSend(limit int) []*peerapi.Notice
}
