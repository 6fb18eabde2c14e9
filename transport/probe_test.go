package transport_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/transport"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// Guards against probes that another target at the address runs as a request.
func TestProbeNamesItsTarget(t *testing.T) {
	is := is.New(t)
	probes := make(chan *http.Request, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { probes <- r }))
	t.Cleanup(server.Close)
	client := transport.NewClient(transport.Options{})
	t.Cleanup(client.Close)
	is.True(client.Probe(t.Context(), "a", strings.TrimPrefix(server.URL, "http://")).OK)
	probe := <-probes
	is.Equal(probe.Header.Get(wire.HeaderTarget), "a")
	is.Equal(probe.Header.Get(wire.HeaderRequestID), "")
	is.Equal(probe.URL.Path, wire.PathProbe)
}
