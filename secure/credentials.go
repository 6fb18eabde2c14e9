package secure

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// Dial returns how gRPC connects to a peer.
func (i *Identity) Dial() grpc.DialOption {
	if i == nil {
		return grpc.WithTransportCredentials(insecure.NewCredentials())
	}
	return grpc.WithTransportCredentials(credentials.NewTLS(i.Client()))
}

// Serve returns how gRPC serves peers.
func (i *Identity) Serve() grpc.ServerOption {
	if i == nil {
		return grpc.Creds(insecure.NewCredentials())
	}
	return grpc.Creds(credentials.NewTLS(i.Server()))
}
