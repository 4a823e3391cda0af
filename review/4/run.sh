#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out. Needs target/mustardreach (the build
# line of deploy/system.toml) and review/build.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/cases ] || { echo "run review/build.sh first" >&2; exit 2; }
exec ../bin/cases -case lapse -dir . -program ../../target/mustardreach
