#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The program of the deploy file is built by its own build line.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-2/ ./review/harness2
