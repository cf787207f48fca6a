#!/usr/bin/env bash
# Plays case 9. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# Needs the build of deploy/system.toml and review/build-2.sh.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review-2/lab ] || { echo "review/build-2.sh comes first" >&2; exit 2; }
exec target/review-2/lab 9 "$here/record.txt"
