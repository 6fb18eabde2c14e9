package fleet

import (
	"log/slog"
	"net"
	"net/netip"
	"time"

	"google.golang.org/grpc"

	"github.com/dogwoodroute/dogwoodroute/internal/contain"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
	"github.com/dogwoodroute/dogwoodroute/secure"
)

// Options configures a Task. All fields are required unless their comment says
// otherwise.
type Options struct {
	// Listener accepts connections from peers. The task closes it.
	Listener net.Listener
	// IP is this instance's IPv4 address. Port is the port on which all peers listen.
	IP   netip.Addr
	Port uint16
	// Domains are the failure domains of the fleet, sorted. Domain is the index of this
	// instance's.
	Domains []string
	Domain  int
	// Capacity is the processor time that this instance may use, in thousandths of a core.
	// Instances with more get more of the callers. 0: unknown.
	Capacity uint32
	// Incarnation is a random number that the process draws at its start.
	Incarnation uint32
	// FirstStart is true if the whole fleet starts for the first time.
	FirstStart bool
	// Seeds are addresses of instances that may be running. They may be out of date;
	// Task.SetSeeds replaces them.
	Seeds []netip.Addr
	// Identity secures the connections to peers with mTLS. If nil, they are plaintext.
	Identity *secure.Identity
	Source
	Decoder
	Log *slog.Logger
	// OnPanic handles a panic in the work on a message or an exchange, which then ends that
	// work only. Nil: it ends the process.
	OnPanic contain.Handler
	// Now returns the time since the start of the process, on a monotonic clock.
	Now func() time.Duration
	// OnView, if not nil, is called by the task after each new view. It returns whether
	// this instance can serve callers with it. It must not block or call the task.
	OnView func() (ready bool)
	// CutOff, if not nil, reports whether no target answers this instance. It must not block.
	CutOff func() bool
	// RegisterServices, if not nil, registers further services for peers.
	RegisterServices func(grpc.ServiceRegistrar)
	// OnImplausibleDemand, if not nil, is called by the task with the number of figures in
	// a message of a peer that it ignores. It must not block.
	OnImplausibleDemand func(n int)
	// OnFailureReports, if not nil, is called by the task with new failure reports of
	// peers. It must not block.
	OnFailureReports func([]quarantine.FailureReport)
}
