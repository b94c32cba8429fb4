#!/bin/sh
# Builds the stand-ins that the scripts start; the system itself is built with the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
cd review/standin
go build -o ../../target/review/standin .
