# Functions that build the example deployment of Kitakyushu on loopback: keys,
# settings and processes. Scripts source this file after fleet.sh.

examples=${examples:?the directory of the example settings}
services=(crew-link:7 sheet-desk:3)
owners=(city works)

# jayspindle ARGUMENTS...: runs an operator's command in the directory of the deployment.
jayspindle() { (cd "$work" && "$binary" "$@"); }

# instance ROLE NAME ENVIRONMENT [SERVICE]: creates the certificate of an instance.
instance() {
	jayspindle keygen -kind instance -authority keys/authority -role "$1" -name "$2" -environment "$3" \
		-service "${4-}" -out "keys/$2"
}

# create_keys: creates the authority and the keys of owners, services and operator.
create_keys() {
	local owner spec
	mkdir -p "$work/keys"
	jayspindle keygen -kind authority -name demo -out keys/authority
	for owner in "${owners[@]}"; do
		jayspindle keygen -kind owner -out "keys/$owner" >"$work/keys/$owner.text"
	done
	for spec in "${services[@]}"; do
		jayspindle keygen -kind service -out "keys/${spec%:*}-service" >"$work/keys/${spec%:*}.text"
		jayspindle keygen -kind certificate -authority keys/authority -service "${spec%:*}" -out "keys/${spec%:*}"
	done
	instance operator operator all
	cp "$examples/operator.yaml" "$work/"
	sed -e "s#ed25519:CREW-LINK-KEY#$(cat "$work/keys/crew-link.text")#" \
		-e "s#ed25519:SHEET-DESK-KEY#$(cat "$work/keys/sheet-desk.text")#" \
		"$examples/document.yaml" >"$work/document.yaml"
}

# start_controller NUMBER: starts a controller; the first founds the group.
start_controller() {
	local name=controller-$1
	[[ -e $work/keys/$name.pem ]] || instance controller "$name" all
	sed -e "s/controller-1/$name/g" -e "s/zone: kokura/zone: ${zones[$1 - 1]}/" \
		-e "s/^listen: 127.0.0.1:6101/listen: 127.0.0.1:610$1/" -e "s/127.0.0.1:6111/127.0.0.1:611$1/" \
		-e "s#ed25519:CITY-KEY#$(cat "$work/keys/city.text")#" -e "s#ed25519:WORKS-KEY#$(cat "$work/keys/works.text")#" \
		"$examples/controller.yaml" >"$work/$name.yaml"
	if (($1 > 1)) || [[ -e $work/founded ]]; then
		sed -i 's/^bootstrap: true/bootstrap: false/' "$work/$name.yaml"
	fi
	start "$name" controller -settings "$name.yaml"
}

# start_balancer NAME HOST ZONE ENVIRONMENT: starts a balancer.
start_balancer() {
	[[ -e $work/keys/$1.pem ]] || instance balancer "$1" "$4"
	derive "$examples/balancer.yaml" balancer-1 "$1" 127.0.1.1 "$2" "$3" |
		sed "s/environment: production/environment: $4/" >"$work/$1.yaml"
	start "$1" balancer -settings "$1.yaml"
}

# start_server SERVICE NAME HOST ZONE ENVIRONMENT: starts a backend server and its agent.
start_server() {
	[[ -e $work/keys/$2.pem ]] || instance agent "$2" "$5" "$1"
	derive "$examples/backend-$1.yaml" "$1-1" "$2" 127.0.2.1 "$3" "$4" >"$work/backend-$2.yaml"
	sed -e "s/\bcrew-link\b/$1/g" "$examples/agent.yaml" >"$work/agent-$1.template"
	derive "$work/agent-$1.template" "$1-1" "$2" 127.0.2.1 "$3" "$4" |
		sed "s/environment: production/environment: $5/" >"$work/$2.yaml"
	start "backend-$2" backend -settings "backend-$2.yaml"
	start "$2" agent -settings "$2.yaml"
}

# start_production: starts three balancers and all backend servers with agents.
start_production() {
	local i spec host=0
	for i in 1 2 3; do
		start_balancer "balancer-$i" "127.0.1.$i" "${zones[i - 1]}" production
	done
	for spec in "${services[@]}"; do
		for ((i = 1; i <= ${spec#*:}; i++)); do
			start_server "${spec%:*}" "${spec%:*}-$i" "127.0.2.$((++host))" "${zones[(host - 1) % 3]}" production
		done
	done
}

# start_trial: starts one balancer and one backend server for each service.
start_trial() {
	start_balancer balancer-trial 127.0.1.9 kokura trial
	start_server crew-link crew-link-trial 127.0.3.1 kokura trial
	start_server sheet-desk sheet-desk-trial 127.0.3.2 yahata trial
}

# await_ready HOST:PORT...: waits for health checks, at most 20 s each.
await_ready() {
	local address
	for address in "$@"; do
		await 20 ready "$address" || { echo "$address did not become ready" >&2 && return 1; }
	done
}

# await_production: waits until all production instances are ready.
await_production() {
	await_ready 127.0.1.{1..3}:6401 127.0.2.{1..10}:6503
}

# sign_both ENVIRONMENT: both co-owners sign the pending change.
sign_both() {
	local owner
	for owner in "${owners[@]}"; do
		jayspindle sign -environment "$1" -file document.yaml -owner "$owner" -key "keys/$owner.key"
	done
}
