package membership

import (
	"context"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

// Settler looks up the outcome of a ticket that this incarnation issued. It is
// called by many goroutines.
type Settler interface {
	Settle(ctx context.Context, request *peerapi.SettleRequest) (*peerapi.SettleResponse, error)
}

// Trials grants and takes back permission to run a suspected request as a
// trial. It is called by many goroutines.
type Trials interface {
	Trial(ctx context.Context, request *peerapi.TrialRequest) (*peerapi.TrialResponse, error)
}

// Notices stores the notices of suspected requests, which the instances pass on
// to each other. It is called by many goroutines and must not block.
type Notices interface {
	// ReceiveNotices processes notices that a peer sent.
	ReceiveNotices(sender string, notices []*peerapi.Notice)
	// NoticesToSend returns at most limit notices for a message to a peer.
	NoticesToSend(limit int) []*peerapi.Notice
}
