#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review3/. It needs only Go and the modules of go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review3
go build -o target/review3/trial ./review/_standins3
