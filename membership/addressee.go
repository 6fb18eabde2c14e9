package membership

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// addresseeKey is the metadata key of each call that holds the identifier of the instance
// for which the call is meant. An address may go to another instance, also one of another
// fleet with the same identifiers, before its former peers learn that.
const addresseeKey = "dogwoodroute-addressee"

// withAddressee returns a context for a call to an instance.
func withAddressee(ctx context.Context, id string) context.Context {
	return metadata.AppendToOutgoingContext(ctx, addresseeKey, id)
}

// checkAddressee rejects calls that are meant for another instance. Older builds do not name
// the addressee.
func (t *Task) checkAddressee(ctx context.Context, request any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if ids := metadata.ValueFromIncomingContext(ctx, addresseeKey); len(ids) > 0 && ids[0] != t.options.Self.ID {
		return nil, status.Errorf(codes.FailedPrecondition, "call for instance %q reached %q", ids[0], t.options.Self.ID)
	}
	return next(ctx, request)
}
