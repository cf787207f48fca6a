#!/usr/bin/env bash
# Runs the example deployment of Kitakyushu on loopback: a document is tried in
# trial and promoted to production, then callers drive alert feeds, pass reports
# and route sheets while one balancer is killed and one backend server drains.
# Exits with 0 only if no flow broke and no report ran twice or was lost.
set -euo pipefail
cd "$(dirname "$0")/.."

export work=$PWD/var/demo binary=$PWD/bin/jayspindle examples=$PWD/examples/kitakyushu
mkdir -p "$work"
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

step "trial: validate, submit, both co-owners sign"
jayspindle validate document.yaml
jayspindle submit -environment trial -file document.yaml -author city -reason "first document"
sign_both trial
start_trial
start_production # backend servers announce themselves once their service exists
await_ready 127.0.1.9:6401 127.0.3.{1,2}:6503
sed -e 's/^duration: .*/duration: 3s/' -e 's/callers: .*/callers: 2/' -e 's/^  - {host: 127.0.1.1,.*/  - {host: 127.0.1.9}/' \
	-e '/^  - {host: 127.0.1.[23],/d' -e '/^ledgers:/,$d' "$examples/load.yaml" >"$work/load-trial.yaml"
printf 'ledgers: [crew-link-trial.ledger]\n' >>"$work/load-trial.yaml"
jayspindle load -settings load-trial.yaml 2>"$work/load-trial.log"

step "production: promote the same bytes, both co-owners sign again"
jayspindle promote -author works
sign_both production
await_production
sleep 12 # agents that started take their full share after 10 s
jayspindle status -environment production

step "20 s of load; balancer-2 is killed after 5 s, crew-link-3 drains after 9 s"
cp "$examples/load.yaml" "$work/load.yaml"
(
	sleep 5
	signal balancer-2 KILL
	sleep 4
	signal crew-link-3 TERM
) &
status=0
jayspindle load -settings load.yaml 2>"$work/load.log" || status=$?

step "the change, and one request hop by hop"
jayspindle explain -environment production 1
(cd "$work" && "$binary" trace -request pass-report load.trace crew-link-*.trace) | head -8 || true

step "$([[ $status == 0 ]] && echo 'every promise was kept' || echo "FAILED: see the table; logs are in $work")"
exit "$status"
