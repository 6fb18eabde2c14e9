package poison

import "context"

// Peers sends notices to the other instances. It is implemented by the protocol
// between instances.
type Peers interface {
	// Broadcast sends notices to all live peers and returns when each of them has
	// merged them or the context ends. An error means that some peers may not
	// have received them.
	Broadcast(ctx context.Context, notices []Notice) error
}

// Trials acquires and releases leases at the coordinator of a key, which is
// CoordinatorOf over the live instances, including this one. It is implemented
// by the protocol between instances, which calls Task.Grant and Task.Release
// of the coordinator.
type Trials interface {
	// Acquire requests a lease on a key and returns whether it was granted. After
	// an error, such as a missing response, the lease may have been granted or
	// not.
	Acquire(ctx context.Context, key Fingerprint) (granted bool, err error)
	// Release ends a lease and reports the verdict of its trial. After an error
	// the lease may stay until it expires.
	Release(ctx context.Context, key Fingerprint, v Verdict) error
}
