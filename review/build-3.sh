#!/usr/bin/env bash
# Builds the stand-ins of the scripts review/12 to review/15.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-3/ ./case...
