#!/bin/sh
# Runs every fuzz target for a while: sh scripts/fuzz.sh [SECONDS]
set -eu
seconds=${1:-10}
grep -rl '^func Fuzz' --include='*_test.go' internal platform | while read -r file; do
	package=./$(dirname "$file")
	sed -n 's/^func \(Fuzz[A-Za-z]*\).*/\1/p' "$file" | while read -r target; do
		go test "$package" -run '^$' -fuzz "^$target\$" -fuzztime "${seconds}s"
	done
done
