#!/usr/bin/env bash
# Regenerates the committed protobuf code of the ledger. Needs protoc and protoc-gen-go on PATH.
set -euo pipefail
cd "$(dirname "$0")/../.."
protoc -I fleet/rpc -I control/ledger/wire --go_out=control/ledger/wire --go_opt=paths=source_relative \
  control/ledger/wire/ledger.proto
