#!/usr/bin/env bash
# Runs the tests, except those listed in KNOWN-RED.txt (lines "Test: NAME"), which are printed.
# Crowds of clients (platform/soak) run after all other packages, apart from their load, unless packages are given.
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
if [ ${#packages[@]} -eq 0 ]; then
  exec go test -count=1 -timeout 20m "${skip[@]}" "$@"
fi
crowds='^Test(Peer)?Crowds$'
go test -count=1 -timeout 20m -skip "${skip[1]:+${skip[1]}|}$crowds" "$@" "${packages[@]}"
go test -count=1 -timeout 20m "${skip[@]}" -run "$crowds" "$@" ./platform/soak
