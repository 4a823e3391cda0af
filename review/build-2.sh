#!/bin/sh
# Builds the program that plays the scripted cases 6 to 10, with its stand-ins of
# the store, the runners and the callers.
set -eu
cd "$(dirname "$0")/cases-2"
CGO_ENABLED=0 go build -o ../../target/review-cases-2 .
