# Functions that start and stop a small deployment of real processes on
# loopback. Scripts source this file; it starts nothing itself.
#
# Every process runs in the directory $work, its id is kept in $work/NAME.pid
# and its log in $work/NAME.log.

work=${work:?the directory of the deployment}
binary=${binary:?the program}

# start NAME ARGUMENTS...: starts a subcommand in the background.
start() {
	local name=$1
	shift
	(cd "$work" && exec "$binary" "$@" >>"$name.out" 2>>"$name.log") &
	echo $! >"$work/$name.pid"
	disown # otherwise the shell prints a message for each killed process
}

# pid NAME: prints the process id.
pid() { cat "$work/$1.pid"; }

# signal NAME SIGNAL: sends a signal to one process of the deployment.
signal() { kill -"$2" "$(pid "$1")" 2>/dev/null || true; }

# stop_all: sends SIGTERM to all processes of the deployment, and SIGKILL to those
# that still run after 3 s.
stop_all() {
	local file waited
	for file in "$work"/*.pid; do
		kill -CONT "$(cat "$file")" 2>/dev/null || true
		kill -TERM "$(cat "$file")" 2>/dev/null || true
	done
	for waited in {1..30}; do
		any_running || return 0
		sleep 0.1
	done
	for file in "$work"/*.pid; do
		kill -KILL "$(cat "$file")" 2>/dev/null || true
	done
	return 0
}

# any_running: succeeds if any process of the deployment still runs.
any_running() {
	local file
	for file in "$work"/*.pid; do
		[[ -e $file ]] && kill -0 "$(cat "$file")" 2>/dev/null && return 0
	done
	return 1
}

# derive_settings TEMPLATE OLD-NAME NEW-NAME OLD-HOST NEW-HOST ZONE: prints the
# settings of TEMPLATE with another name, host and availability zone.
derive_settings() {
	sed -e "s/\b$2\b/$3/g" -e "s/\b${4//./\\.}:/$5:/g" -e "s/listen_host: .*/listen_host: $5/" \
		-e "s/zone: ${zones[0]}/zone: $6/" "$1"
}

# await SECONDS COMMAND...: runs a command until it succeeds, with pauses of
# 0.1 s that add up to at most SECONDS.
await() {
	local tries=$(($1 * 10))
	shift
	until "$@" >/dev/null 2>&1; do
		((tries-- > 0)) || return 1
		sleep 0.1
	done
}

# is_ready ADDRESS: succeeds if the health check at a debug address passes.
is_ready() { curl -fsS --max-time 1 "http://$1/healthz"; }
