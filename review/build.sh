#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/standins ./review/_standins
