package secure

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// DialOption returns the gRPC option for connections to peers. A nil Identity gives an
// unencrypted connection.
func (i *Identity) DialOption() grpc.DialOption {
	if i == nil {
		return grpc.WithTransportCredentials(insecure.NewCredentials())
	}
	return grpc.WithTransportCredentials(credentials.NewTLS(i.ClientConfig()))
}

// ServerOption returns the gRPC option for serving peers. A nil Identity gives
// unencrypted connections.
func (i *Identity) ServerOption() grpc.ServerOption {
	if i == nil {
		return grpc.Creds(insecure.NewCredentials())
	}
	return grpc.Creds(credentials.NewTLS(i.ServerConfig()))
}
