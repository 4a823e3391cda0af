#!/bin/sh
# Plays this case; needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.."
[ -x target/mustardreach ] && [ -x target/review-cases-2 ] || exit 2
exec target/review-cases-2 advice-burst review/9
