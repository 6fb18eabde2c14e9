package relay

import (
	"context"
	"io"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/dogwoodroute/dogwoodroute/internal/contain"
	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

// errIncomplete is the failure of a request whose sender has gone before it sent all of it.
var errIncomplete = errors.New("the request is not complete")

// Handler serves requests that other instances relay. Its methods may be called
// concurrently.
type Handler interface {
	// AcceptRelayed returns nil if the instance takes a request, otherwise the refusal.
	AcceptRelayed(r *Request) *Response
	// ServeRelayed serves a request that was accepted, and calls respond at most once. The
	// context ends when the other instance gives the request up.
	ServeRelayed(ctx context.Context, r *Request, body io.Reader, respond func(*Response, [][]byte) error)
}

// server is the gRPC service for other instances.
type server struct {
	peerapi.UnimplementedRelayServer
	handler Handler
	onPanic contain.Handler
}

// Register registers the service for other instances. onPanic handles a panic in the work on
// one request; nil: it ends the process.
func Register(r grpc.ServiceRegistrar, handler Handler, onPanic contain.Handler) {
	peerapi.RegisterRelayServer(r, &server{handler: handler, onPanic: onPanic})
}

// Serve implements peerapi.RelayServer.
func (s *server) Serve(stream grpc.BidiStreamingServer[peerapi.RelayRequest, peerapi.RelayResponse]) error {
	var result error
	if err := contain.Run("relayed request", s.onPanic, func() { result = s.serve(stream) }); err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	return result
}

func (s *server) serve(stream grpc.BidiStreamingServer[peerapi.RelayRequest, peerapi.RelayResponse]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetHead() == nil {
		return status.Error(codes.InvalidArgument, "the first message has no head")
	}
	request := requestFromMessage(first.GetHead())
	if refusal := s.handler.AcceptRelayed(request); refusal != nil {
		return stream.Send(&peerapi.RelayResponse{Head: refusal.message()})
	}
	if err := stream.Send(&peerapi.RelayResponse{Accepted: true}); err != nil {
		return err
	}
	body := &bodyReader{left: request.BodyBytes, receive: func() ([]byte, error) {
		m, err := stream.Recv()
		return m.GetBody(), err
	}, end: func() error {
		// The sender takes a request whose end it has not sent for one that has not run.
		if _, err := stream.Recv(); err != io.EOF {
			return errIncomplete
		}
		return nil
	}}
	if request.BodyBytes == 0 {
		if err := body.finish(); err != io.EOF {
			return status.Error(codes.Aborted, err.Error())
		}
	}
	var sent error
	s.handler.ServeRelayed(stream.Context(), request, body, func(r *Response, content [][]byte) error {
		sent = send(stream, r, content)
		return sent
	})
	return sent
}

func send(stream grpc.BidiStreamingServer[peerapi.RelayRequest, peerapi.RelayResponse], r *Response, body [][]byte) error {
	if err := stream.Send(&peerapi.RelayResponse{Head: r.message()}); err != nil {
		return err
	}
	for _, segment := range body {
		if err := stream.Send(&peerapi.RelayResponse{Body: segment}); err != nil {
			return err
		}
	}
	return nil
}
