#!/usr/bin/env bash
# Builds the stand-ins of all cases. The project's programs are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/tools"
mkdir -p ../../target/review
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../../target/review/rig .
