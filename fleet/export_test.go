package fleet

import (
	"context"
	"net"

	"google.golang.org/grpc"
)

// SetDialer makes the task connect to peers with dial. It must be called before Run.
func (t *Task) SetDialer(dial func(ctx context.Context, address string) (net.Conn, error)) {
	t.clients.dialOptions = append(t.clients.dialOptions, grpc.WithContextDialer(dial))
}
