#!/usr/bin/env bash
# Builds the stand-ins of the review's cases 6 to 10 into target/, from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../../target/standin-2 .
