#!/usr/bin/env bash
# Generates the Go code of internal/controlpb from its proto files. Requires protoc (Debian package protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
for tool in protoc-gen-go protoc-gen-go-grpc; do
  cp "$(go tool -modfile=tools/go.mod -n $tool)" "$bin/$tool"
done
PATH="$bin:$PATH" protoc --go_out=. --go_opt=module=galenamoor --go-grpc_out=. --go-grpc_opt=module=galenamoor internal/controlpb/control.proto internal/controlpb/work.proto
