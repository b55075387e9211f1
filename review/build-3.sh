#!/bin/sh
# Builds the program that runs the scripts of the third review, with its stand-ins.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/harness3
