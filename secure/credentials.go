package secure

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// DialOption returns how gRPC connects to a peer.
func (i *Identity) DialOption() grpc.DialOption {
	if i == nil {
		return grpc.WithTransportCredentials(insecure.NewCredentials())
	}
	return grpc.WithTransportCredentials(credentials.NewTLS(i.ClientConfig()))
}

// ServerOption returns how gRPC serves peers.
func (i *Identity) ServerOption() grpc.ServerOption {
	if i == nil {
		return grpc.Creds(insecure.NewCredentials())
	}
	return grpc.Creds(credentials.NewTLS(i.ServerConfig()))
}
