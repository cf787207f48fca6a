#!/usr/bin/env bash
# Runs an example deployment on loopback. Tests a document in the trial
# environment, promotes it to production, then opens feeds and sends requests
# while one balancer is killed and one backend server drains. Exits with status 0
# only if no flow broke and no non-idempotent request ran twice or was lost.
#
# Usage: scripts/demo.sh [kitakyushu|magnolia]
set -euo pipefail
cd "$(dirname "$0")/.."

work=$PWD/var/demo binary=$PWD/bin/jayspindle examples=$PWD/examples/${1:-kitakyushu}
if [[ -e $work/running && -d /proc/$(cat "$work/running") ]]; then
	echo "another demo runs as process $(cat "$work/running")" >&2
	exit 1
fi
rm -rf "$work" && mkdir -p "$work"
echo $$ >"$work/running"
source scripts/fleet.sh
source scripts/deploy.sh
trap 'stop_all; rm -f "$work/running"' EXIT

step() { printf '\n== %s\n' "$*"; }

step "keys of the authority, two co-owners, two services and all instances"
create_keys

step "three controllers"
for number in 1 2 3; do start_controller "$number"; done
await 20 jayspindle status -environment trial

step "trial: validate, submit, both co-owners sign, try it"
jayspindle validate document.yaml
jayspindle submit -environment trial -file document.yaml -author "${owners[0]}" -reason "first document"
sign_both trial
start_trial
start_production
await_ready "${trial_health_addresses[@]}"
print_trial_load >"$work/load-trial.yaml"
jayspindle load -settings load-trial.yaml 2>"$work/load-trial.log"

step "production: promote the same bytes, both co-owners sign again"
jayspindle promote -author "${owners[1]}" -reason "tried in trial"
sign_both production
await_ready "${production_health_addresses[@]}"
sleep 12 # new agents reach their full share of requests after 10 s
jayspindle status -environment production

step "20 s of load; balancer-2 is killed after 5 s, $first_service-3 drains after 9 s"
cp "$examples/load.yaml" "$work/load.yaml"
(
	sleep 5
	signal balancer-2 KILL
	sleep 4
	signal "$first_service-3" TERM
) &
status=0
jayspindle load -settings load.yaml 2>"$work/load.log" || status=$?

step "the change, and one request hop by hop"
jayspindle explain -environment production 1
(cd "$work" && "$binary" trace -request "$traced_class" load.trace balancer-*.trace "$first_service"-*.trace \
	backend-*.trace) |
	head -12 || true

step "$([[ $status == 0 ]] && echo 'every promise was kept' || echo "FAILED: see the table; logs are in $work")"
exit "$status"
