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

// NewSnapshot returns the snapshot of an instance that knows these members.
func NewSnapshot(self Instance, members []Instance) *Snapshot {
	return &Snapshot{self: self, members: members, Size: 1 + len(members)}
}
