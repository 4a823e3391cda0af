#!/usr/bin/env bash
# Builds the stand-ins and the scripts' program of the third review, without a network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
cd review/cases-3
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-3 .
