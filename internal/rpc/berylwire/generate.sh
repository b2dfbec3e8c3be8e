#!/bin/sh
# Regenerates the committed code; needs protoc, protoc-gen-go and protoc-gen-twirp on the PATH.
set -eu
cd "$(dirname "$0")"
protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. job.proto operator.proto peer.proto
