#!/bin/bash
# Builds the program as the deploy file says, and the stand-ins that the scripts start.
# Needs no network: the stand-ins use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/ ./cmd/dogwoodroute-edge
(cd review && go build -o ../target/review-standin .)
