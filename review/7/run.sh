#!/usr/bin/env bash
# Plays case 7. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
folder=$PWD
cd ../.. || exit 2
if [[ ! -x target/jayspindle-node || ! -x target/review-2/lab ]]; then
	echo "the build line of deploy/system.toml and review/build-2.sh come first" >&2
	exit 2
fi
TROUBLE=${TROUBLE:-1} exec target/review-2/lab 7 "$folder/record.txt"
