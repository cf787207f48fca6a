#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/lab-2"
mkdir -p ../../target/review-2
GOFLAGS=-mod=mod GOPROXY=off go build -trimpath -o ../../target/review-2/lab .
