#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. It needs only Go and the modules of go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/_standins2/trial
