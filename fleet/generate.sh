#!/usr/bin/env bash
# Regenerates the committed protobuf and Twirp code. Requires protoc, protoc-gen-go and protoc-gen-twirp in PATH.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I fleet/rpc --go_out=fleet/rpc --go_opt=paths=source_relative \
  --twirp_out=fleet/rpc --twirp_opt=paths=source_relative fleet/rpc/fleet.proto
protoc -I control/consensus/wire --go_out=control/consensus/wire --go_opt=paths=source_relative \
  --twirp_out=control/consensus/wire --twirp_opt=paths=source_relative control/consensus/wire/consensus.proto
