package soak

import (
	"fmt"
	"net"

	"github.com/go-faster/errors"
)

// Ports of the processes and the fakes. They are below the kernel's range of
// ephemeral ports, so outgoing connections do not take them.
const (
	callerPort    = 21001
	resolvePort   = 21002
	readinessPort = 21003
	peerPort      = 21004
	storePort     = 21005
	targetPort    = 21006
)

// Subnets of the loopback network of a run.
const (
	instanceSubnet    = iota + 1 // instances
	callerProxySubnet            // proxies between callers and instances
	targetSubnet                 // targets
	targetProxySubnet            // proxies between instances and targets
	storeSubnet                  // number 0 is the store, others are proxies between instances and the store
)

// network is the loopback network 127.N.0.0/16 of one run. Each run has its own, so
// that several can run at the same time.
type network struct{ number int }

// networkCount is the number of loopback networks to choose from.
const networkCount = 200

// chooseNetwork returns a network that no other run uses, and the listener of the
// fake store, which reserves it.
func chooseNetwork(seed uint64) (network, net.Listener, error) {
	var err error
	for i := range uint64(networkCount) {
		n := network{number: 20 + int((seed+i)%networkCount)}
		var listener net.Listener
		if listener, err = net.Listen("tcp", n.address(storeSubnet, 0, storePort)); err == nil {
			return n, listener, nil
		}
	}
	return network{}, nil, errors.Wrap(err, "no loopback network is free")
}

func (n network) address(subnet, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.number, subnet, number+1, port)
}
