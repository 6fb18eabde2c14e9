#!/bin/sh
# Generates the Go code from the .proto files, and the checksums that CI verifies.
set -eu
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -modfile=../tools/go.mod -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto fleet.proto relay.proto
sha256sum peer.proto peer.pb.go peer_grpc.pb.go fleet.proto fleet.pb.go fleet_grpc.pb.go relay.proto relay.pb.go relay_grpc.pb.go > generated.sha256
