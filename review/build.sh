#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases into target/review/. It needs the Go toolchain and no network.
set -euo pipefail
cd "$(dirname "$0")"
for main in */main.go; do
  go build -o "../target/review/case-$(dirname "$main")" "./$(dirname "$main")"
done
