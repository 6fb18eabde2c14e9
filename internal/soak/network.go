package soak

import (
	"fmt"
	"net"

	"github.com/go-faster/errors"
)

// Ports of the processes and the stand-ins. They are below the range from which
// the kernel takes ports of outgoing connections.
const (
	callerPort    = 21001
	resolvePort   = 21002
	readinessPort = 21003
	peerPort      = 21004
	storePort     = 21005
	targetPort    = 21006
)

// Parts of the loopback network of a run.
const (
	instancePart = iota + 1 // instances
	entryPart               // links from callers to instances
	targetPart              // targets
	pathPart                // links from instances to targets
	storePart               // links from instances to the store; number 0 is the store
)

// network is the loopback network 127.N.0.0/16 of one run, so that several runs
// may be under way.
type network struct{ number int }

// networks is the number of loopback networks to choose from.
const networks = 200

// chooseNetwork returns a network that no other run uses, and the listener of
// its store.
func chooseNetwork(seed uint64) (network, net.Listener, error) {
	var err error
	for i := range uint64(networks) {
		n := network{number: 20 + int((seed+i)%networks)}
		var listener net.Listener
		if listener, err = net.Listen("tcp", n.address(storePart, 0, storePort)); err == nil {
			return n, listener, nil
		}
	}
	return network{}, nil, errors.Wrap(err, "no loopback network is free")
}

func (n network) address(part, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.number, part, number+1, port)
}
