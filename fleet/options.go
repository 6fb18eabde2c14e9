package fleet

import (
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/dogwoodroute/dogwoodroute/quarantine"
	"github.com/dogwoodroute/dogwoodroute/secure"
)

// Options configure a Task. All fields without a default are required.
type Options struct {
	// Listener serves peers. The task closes it.
	Listener net.Listener
	// IP is this instance's address; peers listen on the same port.
	IP   netip.Addr
	Port uint16
	// Domains are the failure domains, sorted; Domain is this instance's index.
	Domains []string
	Domain  int
	// Incarnation is a random number made at the start of the process.
	Incarnation uint32
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool
	// Seeds are addresses of instances that may run. They may be stale.
	Seeds []netip.Addr
	// Identity protects the links to peers. Nil: plain links.
	Identity *secure.Identity
	Source
	Decoder
	Log *slog.Logger
	// Now returns the time since the start of the process on the steady clock.
	Now func() time.Duration
	// OnView, if set, is called by the task after each new view.
	OnView func()
	// OnFailureReports, if set, is called by the task with strikes that peers tell.
	OnFailureReports func([]quarantine.FailureReport)
}
