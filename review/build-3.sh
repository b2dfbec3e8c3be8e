#!/usr/bin/env bash
# Builds the stand-ins and the clients of the scripts in review/11 to review/15, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local go build -C review/rig-3 -o "$PWD/target/rig-3" .
