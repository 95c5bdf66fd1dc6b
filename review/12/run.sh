#!/usr/bin/env bash
# Runs the case. TROUBLE=0 leaves the disruption out. Exit: 1 the rule was broken, 0 it held, 2 not run.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -x target/filbertcross ] && [ -x target/review3/trial ] || { echo "not run: build with make deploy and review/build-3.sh" >&2; exit 2; }
exec timeout -k 5 110 target/review3/trial bulk "$here/record.txt"
