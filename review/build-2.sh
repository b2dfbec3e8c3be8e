#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10; needs no network.
set -euo pipefail
cd "$(dirname "$0")"
go test -c -o ../target/review-rig2 ./rig2
