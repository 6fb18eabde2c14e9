package gateway_test

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/gateway"
	"github.com/dogwoodroute/dogwoodroute/relay"
)

// relayFunc is a gateway.Relay without a network. sends counts its calls.
type relayFunc func(n int, r *relay.Request, body [][]byte) (*relay.Response, io.Reader, error)

type countingRelay struct {
	send  relayFunc
	sends atomic.Int64
	peers []netip.Addr
}

func (c *countingRelay) Send(_ context.Context, peer netip.Addr, r *relay.Request, body [][]byte) (*relay.Response, io.Reader, error) {
	c.peers = append(c.peers, peer) // the tests send one request at a time
	return c.send(int(c.sends.Add(1)), r, body)
}

// startCutOff starts a gateway of which no target accepts connections.
func startCutOff(t *testing.T, r gateway.Relay) *fixture {
	f := startRelaying(t, r, startTarget(t, "a", run), startTarget(t, "b", run), startTarget(t, "c", run))
	for _, s := range f.targets {
		_ = s.listener.Close()
	}
	f.configure(catalog.Limits{})
	return f
}

// viaGateway returns a relay that passes requests to another gateway.
func viaGateway(f *fixture) *countingRelay {
	return &countingRelay{send: func(_ int, r *relay.Request, body [][]byte) (*relay.Response, io.Reader, error) {
		if refusal := f.gateway.AcceptRelayed(r); refusal != nil {
			return refusal, strings.NewReader(""), nil
		}
		var response *relay.Response
		var content bytes.Buffer
		f.gateway.ServeRelayed(context.Background(), r, bytes.NewReader(bytes.Join(body, nil)), func(head *relay.Response, segments [][]byte) error {
			response = head
			content.Write(bytes.Join(segments, nil))
			return nil
		})
		return response, &content, nil
	}}
}

// Guards against an instance that refuses what others can serve, and against a request that
// reaches a target changed, twice or with more time than its caller allows.
func TestRequestIsServedByAnotherInstance(t *testing.T) {
	is := is.New(t)
	other := start(t, startTarget(t, "d", run))
	f := startCutOff(t, viaGateway(other))
	is.Equal(f.send(t, "GET", "/safe/x", "").status, 200)
	explained, err := f.gateway.Explain(t.Context(), "127.0.0.1", "/safe/x", 0)
	is.NoErr(err)
	is.True(explained.Services[0].Unreachable)
	got := f.send(t, "POST", "/unsafe/x?y=1", "body", "Id", "one", "Deadline-Ms", "5000", "Extra", "kept")
	is.Equal(got.status, 200)
	is.Equal(got.body, "from d")
	is.Equal(got.header.Get("Id"), "one")
	is.Equal(other.total(), int64(2))
	sent := other.targets[0].received()[1]
	is.Equal(sent.RequestURI, "/unsafe/x?y=1")
	is.Equal(other.targets[0].bodies[1], "body")
	is.Equal(sent.Header.Get("Extra"), "kept")
	left, err := strconv.Atoi(sent.Header.Get("Deadline-Ms"))
	is.NoErr(err)
	is.True(left < 5000)
}

// Guards against a request that is passed on in a circle, or held, while no instance reaches
// the targets.
func TestRequestThatNoInstanceCanServeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	unable := &countingRelay{send: func(int, *relay.Request, [][]byte) (*relay.Response, io.Reader, error) {
		return &relay.Response{Status: 503, NotRun: true, Unable: true}, strings.NewReader(""), nil
	}}
	other := startCutOff(t, unable)
	is.Equal(other.send(t, "GET", "/safe/x", "").status, 503) // it finds out that it reaches none
	own := unable.sends.Load()
	r := viaGateway(other)
	got := startCutOff(t, r).send(t, "GET", "/safe/x", "")
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(r.sends.Load(), int64(len(relayPeers)))
	is.Equal(unable.sends.Load(), own)
}

// Guards against a second run of a request that another instance may have run, and against
// giving up one that has certainly not run.
func TestRelayedRequestIsRepeatedOnlyIfThatIsAllowed(t *testing.T) {
	served := func() (*relay.Response, io.Reader, error) {
		return &relay.Response{Status: 200, BodyBytes: 2, Outcome: "served"}, strings.NewReader("ok"), nil
	}
	failed := func(notRun bool) (*relay.Response, io.Reader, error) {
		return nil, nil, &relay.Error{Step: "test", NotRun: notRun, Err: errors.New("lost")}
	}
	refused := func() (*relay.Response, io.Reader, error) {
		return &relay.Response{Status: 503, Outcome: "no-room", NotRun: true, RetryAfter: 2 * time.Second}, strings.NewReader(""), nil
	}
	incomplete := func() (*relay.Response, io.Reader, error) {
		return &relay.Response{Status: 200, BodyBytes: 3}, io.MultiReader(strings.NewReader("o"), &failingReader{}), nil
	}
	for _, test := range []struct {
		name, path, retryAfter string
		first                  func() (*relay.Response, io.Reader, error)
		status                 int
		sends                  int64
	}{
		{"not run", "/unsafe/x", "", func() (*relay.Response, io.Reader, error) { return failed(true) }, 200, 2},
		{"may have run", "/unsafe/x", "", func() (*relay.Response, io.Reader, error) { return failed(false) }, 502, 1},
		{"may have run, idempotent", "/safe/x", "", func() (*relay.Response, io.Reader, error) { return failed(false) }, 200, 2},
		{"refused", "/safe/x", "2.000", refused, 503, 1},
		{"incomplete", "/unsafe/x", "", incomplete, 502, 1},
		{"served", "/unsafe/x", "", served, 200, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := &countingRelay{}
			r.send = func(n int, _ *relay.Request, _ [][]byte) (*relay.Response, io.Reader, error) {
				if n == 1 {
					return test.first()
				}
				return served()
			}
			got := startCutOff(t, r).send(t, "POST", test.path, "")
			is.Equal(got.status, test.status)
			is.Equal(got.header.Get("Retry-After"), test.retryAfter)
			is.Equal(r.sends.Load(), test.sends)
			is.True(len(r.peers) < 2 || r.peers[0] != r.peers[1])
		})
	}
}

// failingReader fails at once.
type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against requests to a target whose departure this instance has passed on in the answer to
// a relayed request, once it reaches the target again.
func TestAdviceInRelayedAnswersCounts(t *testing.T) {
	is := is.New(t)
	r := &countingRelay{send: func(int, *relay.Request, [][]byte) (*relay.Response, io.Reader, error) {
		return &relay.Response{Status: 200, Header: map[string][]string{"Leaving": {"1"}}, Outcome: "served", TargetID: "a"}, strings.NewReader(""), nil
	}}
	f := startCutOff(t, r)
	got := f.send(t, "POST", "/unsafe/x", "")
	is.Equal(got.status, 200)
	is.Equal(got.header.Get("Leaving"), "1")
	for _, s := range f.targets {
		s.reopen(t)
	}
	awaitTrue(t, func() bool { return f.send(t, "POST", "/unsafe/x", "").status == 200 && f.total() > 0 })
	for range 100 {
		is.Equal(f.send(t, "POST", "/unsafe/x", "").status, 200)
	}
	is.Equal(f.targets[0].ran.Load(), int64(0))
}
