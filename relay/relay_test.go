package relay_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/dogwoodroute/dogwoodroute/relay"
)

// handler is an instance whose decisions a test defines.
type handler struct {
	accept func(*relay.Request) *relay.Response
	serve  func(context.Context, *relay.Request, []byte) (*relay.Response, [][]byte)
	served atomic.Int64
}

func (h *handler) AcceptRelayed(r *relay.Request) *relay.Response { return h.accept(r) }

func (h *handler) ServeRelayed(ctx context.Context, r *relay.Request, body io.Reader, respond func(*relay.Response, [][]byte) error) {
	content, err := io.ReadAll(body)
	if err != nil {
		return
	}
	h.served.Add(1)
	_ = respond(h.serve(ctx, r, content))
}

func accepting(*relay.Request) *relay.Response { return nil }

// startServer starts an instance and returns its address and a client.
func startServer(t *testing.T, h *handler) (netip.Addr, *relay.Client) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	relay.Register(s, h, func(string, any, []byte) {})
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Stop)
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	client := relay.NewClient(address.Port(), nil)
	t.Cleanup(client.Close)
	return address.Addr(), client
}

// Guards against requests and responses that arrive incomplete or changed.
func TestRequestAndResponseArriveWhole(t *testing.T) {
	is := is.New(t)
	long := bytes.Repeat([]byte("0123456789abcdef"), 40_000) // more than a flow control window
	var got *relay.Request
	h := &handler{accept: accepting, serve: func(_ context.Context, r *relay.Request, body []byte) (*relay.Response, [][]byte) {
		got = r
		return &relay.Response{Status: 201, Header: map[string][]string{"A": {"1", "2"}}, BodyBytes: int64(len(body)), Outcome: "served", TargetID: "t", TargetStartUnixMS: 5}, [][]byte{body[:7], body[7:]}
	}}
	peer, client := startServer(t, h)
	sent := &relay.Request{Method: "POST", URI: "/x?y=1", Host: "h", Header: map[string][]string{"B": {"3"}}, BodyBytes: int64(len(long)), Caller: "1.2.3.4:5",
		Elapsed: time.Second, Remaining: 2 * time.Second, Service: "s", MaxRuns: 2, Counted: true, ConfigVersion: 7}
	response, body, err := client.Send(t.Context(), peer, sent, [][]byte{long[:100], long[100:]})
	is.NoErr(err)
	is.Equal(got, sent)
	is.Equal(response.Status, 201)
	is.Equal(response.TargetID, "t")
	is.Equal(response.TargetStartUnixMS, int64(5))
	is.Equal(response.Header["A"], []string{"1", "2"})
	content, err := io.ReadAll(body)
	is.NoErr(err)
	is.True(bytes.Equal(content, long))
}

// Guards against taking a request for one that may have run although no instance had it, and
// the other way round.
func TestWhatMayHaveRunIsKnown(t *testing.T) {
	broken := func(_ context.Context, _ *relay.Request, _ []byte) (*relay.Response, [][]byte) {
		panic("the connection breaks")
	}
	for _, test := range []struct {
		name           string
		accept         func(*relay.Request) *relay.Response
		unable, notRun bool
	}{
		{"refused by an instance that is unable", func(*relay.Request) *relay.Response { return &relay.Response{Status: 503, Unable: true} }, true, true},
		{"never accepted", func(*relay.Request) *relay.Response { time.Sleep(time.Second); return nil }, false, true},
		{"broken after it was accepted", accepting, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := &handler{accept: test.accept, serve: broken}
			peer, client := startServer(t, h)
			response, _, err := client.Send(t.Context(), peer, &relay.Request{Method: "POST", URI: "/"}, nil)
			var failed *relay.Error
			switch {
			case test.unable:
				is.NoErr(err)
				is.True(response.Unable && response.NotRun)
			default:
				is.True(errors.As(err, &failed))
				is.Equal(failed.NotRun, test.notRun)
			}
			is.True(!test.notRun || h.served.Load() == 0)
		})
	}
}

// Guards against targets that work on for a caller that has left, and against a body that ends
// early and is served as a whole one.
func TestGivenUpRequestEndsAtTheOtherInstance(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	h := &handler{accept: accepting, serve: func(ctx context.Context, _ *relay.Request, _ []byte) (*relay.Response, [][]byte) {
		<-ctx.Done()
		close(ended)
		return &relay.Response{Status: 200}, nil
	}}
	peer, client := startServer(t, h)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	_, _, err := client.Send(ctx, peer, &relay.Request{Method: "GET", URI: "/"}, nil)
	is.True(err != nil)
	<-ended
	served := h.served.Load()
	_, _, err = client.Send(t.Context(), peer, &relay.Request{Method: "POST", URI: "/", BodyBytes: 10}, [][]byte{[]byte("short")})
	is.True(err != nil)
	is.Equal(h.served.Load(), served)
}
