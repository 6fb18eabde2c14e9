// Package peerapi contains the gRPC services and messages between instances:
// peer.proto for instances that follow a configuration service, fleet.proto for
// instances that follow a read-only store. The code in *.pb.go is generated from
// them; CI checks with generated.sha256 that it is up to date.
package peerapi

//go:generate sh generate.sh
