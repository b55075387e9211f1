#!/usr/bin/env bash
# Regenerates api/gen from api/design with goa.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(go tool -modfile=tools/go.mod -n goa)
rm -rf api/gen
"$bin" gen galenamoor/api/design -o api >/dev/null
