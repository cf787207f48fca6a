#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/standin .
