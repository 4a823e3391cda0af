# Starts and ends the processes of a site on loopback. Sourced by the other
# scripts; every process is ended by its id.
#
#   site_start ZONES HOSTS RUNNERS WORKERS DEPLOYMENT [stand-in flags ...]
#   host_start INDEX   host_end INDEX SIGNAL   site_end

# Concurrent sites use ports above different bases. A base is reserved by a
# directory, since its ports come into use only a moment later.
hold() {
	RUN=run/$1
	mkdir -p run
	if ! mkdir "$RUN" 2>/dev/null && kill -0 "$(cat "$RUN/site.pid" 2>/dev/null)" 2>/dev/null; then
		echo "note the ports above $1 are held by another site"
		return 1
	fi
	echo $$ >"$RUN/site.pid"
	bin/mustardreach-load -check_base "$1"
}

take_base() {
	for BASE in ${BASE:-0 10000 20000 30000 40000}; do
		hold "$BASE" && return 0
	done
	echo "no free ports for a site; end another one, or name a base: BASE=50000"
	exit 1
}

take_base

port() { echo $((BASE + $1)); }

zone_of() {
	count=$(echo "$ZONES" | tr ',' '\n' | wc -l)
	echo "$ZONES" | cut -d, -f$((($1 - 1) % count + 1))
}

# Addresses as a host uses them: with RELAYS=yes, hosts of other zones and the
# platform are reached through relays, one set for each zone.
seeds_for() {
	zone=$(zone_of "$1")
	zone_number=$((($1 - 1) % $(echo "$ZONES" | tr ',' '\n' | wc -l) + 1))
	list=""
	for j in $(seq 1 "$HOSTS"); do
		address="127.0.0.1:$(port $((8300 + j)))"
		if [ "${RELAYS:-no}" = yes ] && [ "$(zone_of "$j")" != "$zone" ]; then
			address="127.0.0.1:$(port $((9000 + zone_number * 100 + j)))"
		fi
		list="$list,$address"
	done
	echo "${list#,}"
}

platform_for() {
	zone_number=$((($1 - 1) % $(echo "$ZONES" | tr ',' '\n' | wc -l) + 1))
	if [ "${RELAYS:-no}" = yes ]; then
		echo "127.0.0.1:$(port $((9000 + zone_number * 100)))"
	else
		echo "127.0.0.1:$(port 7001)"
	fi
}

relays() {
	[ "${RELAYS:-no}" = yes ] || return 0
	list=""
	number=0
	for zone in $(echo "$ZONES" | tr ',' ' '); do
		number=$((number + 1))
		list="$list,$zone>platform=127.0.0.1:$(port $((9000 + number * 100)))=127.0.0.1:$(port 7001)"
		for j in $(seq 1 "$HOSTS"); do
			other=$(zone_of "$j")
			[ "$other" = "$zone" ] && continue
			list="$list,$zone>$other=127.0.0.1:$(port $((9000 + number * 100 + j)))=127.0.0.1:$(port $((8300 + j)))"
		done
	done
	echo "${list#,}"
}

host_start() {
	# A replacement of a host has a new name and the same addresses.
	name="$(zone_of "$1")-$1${2:-}"
	discover=true
	[ "${RELAYS:-no}" = yes ] && discover=false
	bin/mustardreach serve -config "samples/$DEPLOYMENT/host.ini" \
		-host.id "$name" -host.zone "$(zone_of "$1")" \
		-listen.callers "127.0.0.1:$(port $((8100 + $1)))" \
		-listen.operators "127.0.0.1:$(port $((8200 + $1)))" \
		-listen.peers "127.0.0.1:$(port $((8300 + $1)))" \
		-peers.seeds "$(seeds_for "$1")" -peers.discover=$discover \
		-platform.endpoints "$(platform_for "$1")" \
		${HOST_FLAGS:-} >>"$RUN/host-$1.log" 2>&1 &
	echo $! >"$RUN/host-$1.pid"
}

host_end() {
	kill -"$2" "$(cat "$RUN/host-$1.pid")" 2>/dev/null || true
}

list_of() {
	list=""
	for i in $(seq 1 "$HOSTS"); do
		list="$list,127.0.0.1:$(port $(($1 + i)))"
	done
	echo "${list#,}"
}

site_start() {
	ZONES=$1 HOSTS=$2 RUNNERS=$3 WORKERS=$4 DEPLOYMENT=$5
	shift 5
	rm -f "$RUN"/*.log "$RUN"/host-*.pid "$RUN"/standin.pid
	bin/mustardreach-standin -admin "127.0.0.1:$(port 7000)" -platform "127.0.0.1:$(port 7001)" \
		-zones "$ZONES" -runners "$RUNNERS" -workers "$WORKERS" -relays "$(relays)" "$@" \
		>"$RUN/standin.log" 2>&1 &
	echo $! >"$RUN/standin.pid"
	sleep 0.3
	for i in $(seq 1 "$HOSTS"); do
		host_start "$i"
	done
	CALLERS=$(list_of 8100)
	OPERATORS=$(list_of 8200)
	FIRST_OPERATORS="127.0.0.1:$(port 8201)"
}

site_release() {
	for _ in 1 2 3 4 5 6 7 8 9 10; do
		bin/mustardreach release apply -operators "$FIRST_OPERATORS" "samples/$DEPLOYMENT/release.ini" >"$RUN/release.log" 2>&1 && return 0
		sleep 0.5
	done
	cat "$RUN/release.log"
	return 1
}

load() {
	plan=$1
	shift
	bin/mustardreach-load -callers "$CALLERS" -operators "$OPERATORS" \
		-admin "127.0.0.1:$(port 7000)" -plan "$plan" -service "${SERVICE:-quotes}" -seed "${SEED:-1}" "$@"
}

site_end() {
	for file in "$RUN"/host-*.pid; do
		kill -KILL "$(cat "$file")" 2>/dev/null || true
	done
	kill -TERM "$(cat "$RUN/standin.pid")" 2>/dev/null || true
	wait 2>/dev/null || true
}
