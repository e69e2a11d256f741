# A small site on loopback, for bin/demo and bin/measure-path: two entries, four targets in three availability zones and
# the platform's stand-ins, all as separate processes. Sourced, not run; logs are kept when the
# caller leaves `differences` at another value than 0.
# shellcheck shell=bash

readonly FIRST_PORT="${ALMONDMOUNT_DEMO_PORT:-21800}"
readonly TABLE=$FIRST_PORT OBJECTS=$((FIRST_PORT + 1)) PEER_BALANCER=$((FIRST_PORT + 2)) CALLER_BALANCER=$((FIRST_PORT + 3))
readonly WORKERS=$((FIRST_PORT + 10)) INSTANCES=$((FIRST_PORT + 20)) ENTRIES=$((FIRST_PORT + 30))
readonly ZONES=(lulea-a lulea-a umea-a skelleftea-a)
readonly NORRBOTTEN=demo-token-of-norrbotten VASTRA=demo-token-of-vastra OPERATOR=demo-token-of-operator-anna

work="$(mktemp -d)"
declare -A pids=()
differences=0

stop_all() {
	for name in "${!pids[@]}"; do
		kill "${pids[$name]}" 2>/dev/null
	done
	for name in "${!pids[@]}"; do
		wait "${pids[$name]}" 2>/dev/null
	done
	if [ "$differences" -eq 0 ]; then
		rm -rf "$work"
	else
		echo "logs and settings are kept in $work"
	fi
}
trap stop_all EXIT

start() { # NAME COMMAND...
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	pids[$name]=$!
}

within() { # SECONDS COMMAND... : tries until the command succeeds
	local deadline=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -lt "$deadline" ] || return 1
	done
}

am() { # TOKEN COMMAND... : through the balancer before both entries
	local token=$1
	shift
	bin/almondmount "$@" --server "127.0.0.1:$CALLER_BALANCER" --token "$token"
}

field() { # NAME : the first field of that name in the JSON on standard input
	grep -oE "\"$1\" ?: ?(\"[^\"]*\"|[0-9]+)" | head -n 1 | sed -E 's/^[^:]*: ?//; s/"//g'
}

confirm_plan() { # PLAN-WORDS... : plans and confirms, prints the revision
	local plan
	plan=$(am "$OPERATOR" plan "$@" --json | field plan)
	am "$OPERATOR" confirm "$plan" --json | field revision
}

customer_file() { # NAME GANGS : a customer with that many guaranteed gangs of eight adjacent accelerators
	cat >"$work/customer.yaml" <<-CUSTOMER
		customer: $1
		weight: 1
	CUSTOMER
	if [ "$2" -gt 0 ]; then
		cat >>"$work/customer.yaml" <<-CUSTOMER
			guarantees:
			  - {gangs: $2, members: 1, accelerators: 8, cores: 1, memory: 1GiB, adjacency: worker}
		CUSTOMER
	else
		echo 'guarantees: []' >>"$work/customer.yaml"
	fi
}

entry_settings() { # NUMBER
	cat >"$work/entry-$1.yaml" <<-ENTRY
		name: entry-$1
		region: se-north
		zone: ${ZONES[$1]}
		http: 127.0.0.1:$((ENTRIES + 2 * $1))
		peers: 127.0.0.1:$((ENTRIES + 2 * $1 + 1))
		table: 127.0.0.1:$TABLE
		objects: 127.0.0.1:$OBJECTS
		peer: {sharedKey: demo-secret-of-this-installation}
		tokens:
		  customers:
		    - {token: $NORRBOTTEN, customer: norrbotten}
		    - {token: $VASTRA, customer: vastra}
		  operators:
		    - {token: $OPERATOR, operator: anna}
	ENTRY
}

target_settings() { # NUMBER from 1
	local zone=${ZONES[$(($1 - 1))]}
	cat >"$work/target-$1.yaml" <<-TARGET
		balancer: 127.0.0.1:$PEER_BALANCER
		worker: {name: worker-$1, zone: $zone, rack: $zone-r1, accelerators: 8, cores: 32, memory: 128GiB}
		workerApi: 127.0.0.1:$((WORKERS + $1 - 1))
		instance: 127.0.0.1:$((INSTANCES + $1 - 1))
		slots: 8
		connections: 64
		peer: {sharedKey: demo-secret-of-this-installation}
	TARGET
}

start_entry() {
	start "entry-$1" bin/almondmount entry --config "$work/entry-$1.yaml"
}

start_target() {
	start "target-$1" bin/almondmount target --config "$work/target-$1.yaml"
}

worker_count() {
	[ "$(am "$OPERATOR" workers --json | grep -oE '"worker" ?:' | wc -l)" -eq "$1" ]
}

start_site() { # stand-ins, both entries and the four targets; returns before they are ready
	start standins bin/standins all --table-port "$TABLE" --objects-port "$OBJECTS" --workers 4 --worker-port "$WORKERS" \
		--instance-port "$INSTANCES" \
		--balance "$PEER_BALANCER=127.0.0.1:$((ENTRIES + 1)),127.0.0.1:$((ENTRIES + 3))" \
		--balance-ready "$CALLER_BALANCER=127.0.0.1:$ENTRIES,127.0.0.1:$((ENTRIES + 2))"
	local i
	for i in 0 1; do
		entry_settings "$i"
		start_entry "$i"
	done
	for i in 1 2 3 4; do
		target_settings "$i"
		start_target "$i"
	done
}
