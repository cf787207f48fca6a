# Functions that create the keys, settings files and processes of an example
# deployment on loopback. Scripts source this file after fleet.sh.
#
# Addresses:
#   controllers                 127.0.0.1:610N
#   balancers                   127.0.1.N, in trial 127.0.1.9
#   agents and backend servers  127.0.2.N, in trial 127.0.3.N

examples=${examples:?the directory of the example settings}
source "$examples/deployment.sh"
first_service=${services[0]%:*} # the service that agent.yaml is written for

# jayspindle ARGUMENTS...: runs a subcommand in the directory of the deployment.
jayspindle() { (cd "$work" && "$binary" "$@"); }

# create_instance_keys ROLE NAME ENVIRONMENT [SERVICE]: creates the key and the
# certificate of an instance.
create_instance_keys() {
	jayspindle keygen -kind instance -authority keys/authority -role "$1" -name "$2" -environment "$3" \
		-service "${4-}" -out "keys/$2"
}

# create_keys: creates the certificate authority and the keys of the owners, the
# services and the operator, and writes the public keys of the services into
# document.yaml.
create_keys() {
	local owner spec name
	mkdir -p "$work/keys"
	jayspindle keygen -kind authority -name demo -out keys/authority
	for owner in "${owners[@]}"; do
		jayspindle keygen -kind owner -out "keys/$owner" >"$work/keys/$owner.text"
	done
	cp "$examples/document.yaml" "$examples/operator.yaml" "$work/"
	for spec in "${services[@]}"; do
		name=${spec%:*}
		jayspindle keygen -kind service -out "keys/$name-service" >"$work/keys/$name.text"
		jayspindle keygen -kind certificate -authority keys/authority -service "$name" -out "keys/$name"
		sed -i "s#ed25519:${name^^}-KEY#$(cat "$work/keys/$name.text")#" "$work/document.yaml"
	done
	create_instance_keys operator operator all
}

# start_controller NUMBER: starts a controller. Only the first bootstraps the
# Raft group.
start_controller() {
	local name=controller-$1 owner
	[[ -e $work/keys/$name.pem ]] || create_instance_keys controller "$name" all
	sed -e "s/controller-1/$name/g" -e "s/zone: ${zones[0]}/zone: ${zones[$1 - 1]}/" \
		-e "s/^listen: 127.0.0.1:6101/listen: 127.0.0.1:610$1/" -e "s/127.0.0.1:6111/127.0.0.1:611$1/" \
		"$examples/controller.yaml" >"$work/$name.yaml"
	for owner in "${owners[@]}"; do
		sed -i "s#ed25519:${owner^^}-KEY#$(cat "$work/keys/$owner.text")#" "$work/$name.yaml"
	done
	(($1 == 1)) || sed -i 's/^bootstrap: true/bootstrap: false/' "$work/$name.yaml"
	start "$name" controller -settings "$name.yaml"
}

# start_balancer NAME HOST ZONE ENVIRONMENT: starts a balancer.
start_balancer() {
	[[ -e $work/keys/$1.pem ]] || create_instance_keys balancer "$1" "$4"
	derive_settings "$examples/balancer.yaml" balancer-1 "$1" 127.0.1.1 "$2" "$3" |
		sed "s/environment: production/environment: $4/" >"$work/$1.yaml"
	start "$1" balancer -settings "$1.yaml"
}

# start_server SERVICE NAME HOST ZONE ENVIRONMENT: starts a backend server and its agent.
start_server() {
	[[ -e $work/keys/$2.pem ]] || create_instance_keys agent "$2" "$5" "$1"
	derive_settings "$examples/backend-$1.yaml" "$1-1" "$2" 127.0.2.1 "$3" "$4" >"$work/backend-$2.yaml"
	sed -e "s/\b$first_service\b/$1/g" "$examples/agent.yaml" >"$work/agent-$1.template"
	derive_settings "$work/agent-$1.template" "$1-1" "$2" 127.0.2.1 "$3" "$4" |
		sed "s/environment: production/environment: $5/" >"$work/$2.yaml"
	start "backend-$2" backend -settings "backend-$2.yaml"
	start "$2" agent -settings "$2.yaml"
}

# start_production: starts one balancer in each availability zone and all backend
# servers with their agents. They retry until a document with their service is in
# effect. Sets production_health_addresses.
start_production() {
	local i spec host=0
	for ((i = 1; i <= ${#zones[@]}; i++)); do
		start_balancer "balancer-$i" "127.0.1.$i" "${zones[i - 1]}" production
	done
	for spec in "${services[@]}"; do
		for ((i = 1; i <= ${spec#*:}; i++)); do
			start_server "${spec%:*}" "${spec%:*}-$i" "127.0.2.$((++host))" "${zones[(host - 1) % ${#zones[@]}]}" production
		done
	done
	production_health_addresses=()
	for ((i = 1; i <= ${#zones[@]}; i++)); do production_health_addresses+=("127.0.1.$i:6401"); done
	for ((i = 1; i <= host; i++)); do production_health_addresses+=("127.0.2.$i:6503"); done
}

# start_trial: starts one balancer, and one backend server with its agent for each
# service. Sets trial_health_addresses.
start_trial() {
	local spec host=0
	start_balancer balancer-trial 127.0.1.9 "${zones[0]}" trial
	trial_health_addresses=(127.0.1.9:6401)
	for spec in "${services[@]}"; do
		start_server "${spec%:*}" "${spec%:*}-trial" "127.0.3.$((++host))" "${zones[host]}" trial
		trial_health_addresses+=("127.0.3.$host:6503")
	done
}

# print_trial_load: prints the settings of a short load on the trial instances.
print_trial_load() {
	sed -e 's/^duration: .*/duration: 3s/' -e 's/load.trace/load-trial.trace/' -e 's/callers: .*/callers: 2/' \
		-e 's/^  - {host: 127.0.1.1,.*/  - {host: 127.0.1.9}/' -e '/^  - {host: 127.0.1.[2-9],/d' \
		-e '/^ledgers:/,$d' "$examples/load.yaml"
	printf 'ledgers: [%s-trial.ledger]\n' "$first_service"
}

# await_ready HOST:PORT...: waits until each health check passes, at most 20 s
# for each address.
await_ready() {
	local address
	for address in "$@"; do
		await 20 is_ready "$address" || { echo "$address did not become ready" >&2 && return 1; }
	done
}

# sign_both ENVIRONMENT: both co-owners sign the pending change.
sign_both() {
	local owner
	for owner in "${owners[@]}"; do
		jayspindle sign -environment "$1" -file document.yaml -owner "$owner" -key "keys/$owner.key"
	done
}
