#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
