#!/bin/sh
# Builds the stand-ins of the scripted cases of the second review. It needs no network.
set -e
cd "$(dirname "$0")/second"
go build -o ../../target/review-2 .
