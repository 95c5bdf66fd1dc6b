#!/usr/bin/env bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/filbertcross ] || [ ! -x target/review-2/trial ]; then
	echo "build first: the command of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi
exec target/review-2/trial probe review/8/record.txt
