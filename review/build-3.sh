#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
go build -buildvcs=false -o ../../target/standin-3 .
