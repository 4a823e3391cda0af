#!/bin/sh
# Runs one scenario in real processes and prints its figures.
#   sh scripts/measure.sh SCENARIO SEED
# A scenario is a line of the table below and, for some, a function that kills,
# pauses, restarts or replaces hosts while the load runs.
set -u
. scripts/site.sh
SCENARIO=$1
SEED=${2:-1}

# name               deployment hosts runners workers
table() {
	cat <<'TABLE'
steady               cadeira    8     50      50
steady-tavita        tavita     9     50      50
overload             cadeira    8     20      0
runner-faults        cadeira    8     50      0
drain                cadeira    8     50      0
rolling-restart      cadeira    8     50      0
churn                cadeira    8     50      0
slots                cadeira    8     20      0
one-host             cadeira    8     20      0
at-most-once         cadeira    8     20      0
batch                cadeira    8     0       50
urgent               cadeira    8     0       50
cancel-wave          cadeira    8     0       50
sick-workers         cadeira    8     0       50
store-outage         cadeira    8     20      50
dispatcher-faults    cadeira    8     0       50
zone-out             cadeira    8     0       50
release              cadeira    8     6       6
partition            cadeira    8     20      20
cold-start           cadeira    8     20      6
control-cost         cadeira    9     50      50
store-budget         cadeira    8     20      50
TABLE
}

pause_host() {
	host_end "$1" STOP
	sleep "$2"
	host_end "$1" CONT
}

replace_host() {
	host_end "$1" KILL
	sleep "${2:-1}"
	host_start "$1" "$3"
}

while_rolling_restart() {
	for i in $(seq 1 "$HOSTS"); do
		sleep 1
		host_end "$i" TERM
		while kill -0 "$(cat "$RUN/host-$i.pid")" 2>/dev/null; do sleep 0.1; done
		host_start "$i"
	done
}

while_churn() {
	sleep 2
	n=0
	while [ $n -lt 20 ]; do
		n=$((n + 1))
		replace_host $(((n * 3 + SEED) % HOSTS + 1)) 1 "-n$n"
		sleep 1
	done
}

while_slots() {
	sleep 2
	replace_host 1 1 -a
	pause_host 2 10 &
	sleep 3
	replace_host 3 1 -a
	pause_host 4 6 &
	sleep 4
	replace_host 5 0 -a
	sleep 2
	replace_host 1 0 -b
	pause_host 6 4
	replace_host 7 1 -a
}

while_at_most_once() {
	sleep 4
	for i in 2 5 7 3 6; do
		replace_host $i 1 "-n$i"
		sleep 3
	done
}

while_dispatcher_faults() {
	sleep 3
	n=0
	while [ $n -lt 5 ]; do
		n=$((n + 1))
		pause_host $(((n * 2 + SEED) % HOSTS + 1)) 6 &
		replace_host $(((n * 3 + SEED) % HOSTS + 1)) 1 "-n$n"
		sleep 4
	done
}

line=$(table | awk -v name="$SCENARIO" '$1 == name')
if [ -z "$line" ]; then
	echo "scenarios:"
	table | awk '{print "  " $1}'
	[ -z "$SCENARIO" ] && exit 0
	exit 2
fi
set -- $line
DURING=
echo "scenario $SCENARIO seed $SEED: $2, $3 entry hosts, $4 runners, $5 workers"
trap site_end EXIT INT TERM
case $2 in
cadeira) zones=recife,jaboatao,olinda SERVICE=quotes ;;
tavita) zones=ro-nord-a,ro-nord-b,ro-nord-c,ro-nord-d SERVICE=sprouts ;;
esac
service=$SERVICE
[ "$SCENARIO" = at-most-once ] && service=orders,quotes
[ -f "scripts/scenarios/$SCENARIO.sh" ] && . "scripts/scenarios/$SCENARIO.sh"
site_start "$zones" "${HOSTS_OVERRIDE:-$3}" "$4" "$5" "$2" -service "$service" -service-time 50ms
site_release || exit 1
sleep "${SETTLE:-6}"
during=while_$(echo "$SCENARIO" | tr - _)
if command -v "$during" >/dev/null 2>&1; then
	$during &
	DURING=$!
fi
load "${SCENARIO%-tavita}"
result=$?
[ -n "${DURING:-}" ] && kill "$DURING" 2>/dev/null
for i in $(seq 1 "$HOSTS"); do
	host_end "$i" CONT
done
exit $result
