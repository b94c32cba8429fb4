#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, and the program that the scripts start, as the deploy file builds it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/sesamecleat .
cd review/standin-2
go build -o ../../target/review-2 .
