package membership

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

// Bounds of the peer server. Requests hold states, notices and tickets; only
// responses hold documents.
const (
	maxRequestBytes  = 512 << 10
	maxStreams       = 1024
	windowBytes      = 1 << 20 // fixed, because estimating it costs a ping for each burst
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
)

// server implements the Peer service. Its methods run in goroutines of gRPC.
type server struct {
	peerapi.UnimplementedPeerServer
	task *Task
}

func (t *Task) newServer() *grpc.Server {
	s := grpc.NewServer(t.options.Identity.ServerOption(), grpc.MaxRecvMsgSize(maxRequestBytes), grpc.MaxConcurrentStreams(maxStreams),
		grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2}),
		grpc.StatsHandler(t.traffic), grpc.ChainUnaryInterceptor(t.checkAddressee, t.checkReachable))
	peerapi.RegisterPeerServer(s, &server{task: t})
	return s
}

// sender is implemented by every request but State.
type sender interface{ GetSender() string }

// checkReachable rejects requests of peers that are unreachable in a simulated
// partition.
func (t *Task) checkReachable(ctx context.Context, request any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	var id string
	switch r := request.(type) {
	case *peerapi.State:
		id = r.GetId()
	case sender:
		id = r.GetSender()
	}
	if !t.options.Reachable(id) {
		return nil, status.Errorf(codes.Unavailable, "peer %q is unreachable (simulated partition)", id)
	}
	return next(ctx, request)
}

// Exchange implements peerapi.PeerServer.
func (s *server) Exchange(ctx context.Context, request *peerapi.State) (*peerapi.State, error) {
	responses := make(chan *peerapi.State, 1)
	s.task.post(func(now time.Duration) {
		if !s.task.members.Receive(now, request) {
			responses <- nil
			return
		}
		s.task.reportAnnouncement(request)
		responses <- s.task.message(now, request.GetFull())
	})
	select {
	case state := <-responses:
		if state == nil {
			return nil, status.Errorf(codes.InvalidArgument, "state of %q was rejected: malformed or from an earlier incarnation", request.GetId())
		}
		s.task.deliverNotices(request.GetId(), request.GetNotices())
		return state, nil
	case <-s.task.done:
		return nil, status.Error(codes.Unavailable, "instance is stopping")
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// Content implements peerapi.PeerServer.
func (s *server) Content(_ context.Context, request *peerapi.ContentRequest) (*peerapi.ContentResponse, error) {
	if s.task.options.Content == nil {
		return nil, status.Error(codes.Unimplemented, "this instance does not serve configurations")
	}
	document, found := s.task.options.Content(request.GetVersion())
	if !found {
		return nil, status.Errorf(codes.NotFound, "version %d is not in force", request.GetVersion())
	}
	return &peerapi.ContentResponse{Document: document}, nil
}

// Notify implements peerapi.PeerServer.
func (s *server) Notify(_ context.Context, request *peerapi.NotifyRequest) (*peerapi.NotifyResponse, error) {
	if s.task.options.Notices == nil {
		return nil, status.Error(codes.Unimplemented, "this instance does not accept notices")
	}
	s.task.deliverNotices(request.GetSender(), request.GetNotices())
	return &peerapi.NotifyResponse{}, nil
}

// Settle implements peerapi.PeerServer.
func (s *server) Settle(ctx context.Context, request *peerapi.SettleRequest) (*peerapi.SettleResponse, error) {
	if s.task.options.Settler == nil {
		return nil, status.Error(codes.Unimplemented, "this instance does not settle tickets")
	}
	return s.task.options.Settler.Settle(ctx, request)
}

// Trial implements peerapi.PeerServer.
func (s *server) Trial(ctx context.Context, request *peerapi.TrialRequest) (*peerapi.TrialResponse, error) {
	if s.task.options.Trials == nil {
		return nil, status.Error(codes.Unimplemented, "this instance does not grant trials")
	}
	return s.task.options.Trials.Trial(ctx, request)
}
