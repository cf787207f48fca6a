#!/usr/bin/env bash
# Runs the case "slow-upload" once and writes record.txt. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [[ ! -x target/lab-3 || ! -x target/jayspindle-node ]]; then
	echo "target/lab-3 or target/jayspindle-node is missing" >&2
	exit 2
fi
exec target/lab-3 slow-upload review/15
