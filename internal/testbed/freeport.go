package testbed

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/go-faster/errors"
)

// Range of the ports that FreeAddress chooses from. It is below the range of
// ephemeral ports, because an outgoing connection could take such a port between its
// choice and its use.
const (
	firstFreePort = 12000
	freePorts     = 18000
	portTries     = 100
)

// FreeAddress returns a loopback address with a free port, for a process that is
// started afterwards. The port is not reserved.
func FreeAddress() (string, error) {
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstFreePort+rand.IntN(freePorts))
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.Errorf("no free port in %d tries", portTries)
}
