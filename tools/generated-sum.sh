#!/usr/bin/env bash
# Prints a checksum of all generated files.
set -euo pipefail
cd "$(dirname "$0")/.."
find api internal docs examples -type f \( -name "*.ini" -o -name '*.pb.go' -o -path 'api/gen/*' -o -name '*.generated.md' \) -print0 | sort -z | xargs -0 -r sha256sum | sha256sum
