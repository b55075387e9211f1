#!/usr/bin/env bash
# Runs the tests, except those listed in KNOWN-RED.txt (lines "Test: NAME"), which are printed.
# Usage: tools/test.sh [go test flags] [packages]; the default is all packages.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
if [ -f KNOWN-RED.txt ]; then
  names=$(sed -n 's/^Test: *//p' KNOWN-RED.txt)
  if [ -n "$names" ]; then
    echo "skipped, see KNOWN-RED.txt:"
    echo "$names"
    # -skip matches the elements of a subtest's name separately: TestA/b becomes ^TestA$/^b$.
    skip=(-skip "$(echo "$names" | sed 's#/#$/^#g; s#^#^#; s#$#$#' | paste -sd '|' -)")
  fi
fi
packages=(./...)
for argument in "$@"; do
  case "$argument" in
    ./*) packages=() ;;
  esac
done
go test -count=1 -timeout 20m "${skip[@]}" "$@" "${packages[@]}"
