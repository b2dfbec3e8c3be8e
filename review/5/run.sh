#!/usr/bin/env bash
# Runs the case once. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/cases ] && [ -x target/beryljobd ] || { echo "build first: the line build of deploy/system.toml and review/build.sh" >&2; exit 2; }
CASE=5 timeout --signal=KILL 118 target/review/cases
status=$?
[ $status -le 2 ] || status=2
exit $status
