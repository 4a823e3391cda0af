#!/bin/sh
# Runs a small site with embedded stand-ins, shows its main functions with
# evidence, and ends. Exit 0: no violation and no missed target. Exit 1: otherwise.
set -u
. scripts/site.sh
trap site_end EXIT INT TERM

echo "note two entry hosts in two zones, and stand-ins for the platform, six runners and six workers"
site_start recife,jaboatao 2 6 6 cadeira
site_release || exit 1
load demo
result=$?

echo "note now host 2 is told to stop while it has requests in progress"
(sleep 0.7; host_end 2 TERM) &
load stopping || result=1
for _ in 1 2 3 4 5 6 7 8; do
	kill -0 "$(cat "$RUN/host-2.pid")" 2>/dev/null || break
	sleep 0.5
done
if kill -0 "$(cat "$RUN/host-2.pid")" 2>/dev/null; then
	echo "violation host 2 did not stop"
	result=1
else
	echo "note a graceful stop: host 2 has ended by itself: $(grep -c '"stopped" err=null' "$RUN/host-2.log") clean stop in its log"
fi
[ $result -eq 0 ] && echo "demo: every promise held" || echo "demo: a promise was broken; logs are in $RUN/"
exit $result
