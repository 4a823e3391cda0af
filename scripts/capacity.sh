#!/bin/sh
# Prints the figures from which docs/CAPACITY.md is calculated: the costs of the
# decisions at three sizes, and what idle fleets of three sizes use.
set -eu
go test -run '^$' -bench 'Placement|Tick|Heartbeat|Request' -benchmem -benchtime 500ms ./internal/... | grep '^Benchmark'
for hosts in 9 27 63; do
	HOSTS_OVERRIDE=$hosts sh scripts/measure.sh control-cost 1 | grep -E 'figure (hosts|cpu|resident|control)' || true
done
HOSTS_OVERRIDE=8 sh scripts/measure.sh store-budget 1 | grep -E 'figure (writes|calls|peak)' || true
