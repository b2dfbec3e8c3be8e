#!/usr/bin/env bash
# Builds the cases with their stand-ins into target/review/. It needs the Go toolchain and no network.
set -euo pipefail
cd "$(dirname "$0")"
go test -c -o ../target/review/cases ./rig
