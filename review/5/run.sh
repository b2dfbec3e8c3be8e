#!/usr/bin/env bash
# Runs the case once; with TROUBLE=0 it does the same without the disruption. It exits with 1 if the rule was broken, 0 if it held and 2
# if the case could not run. The program ends all processes that it has started, also when it is interrupted or takes over 115 s.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/cases ] && [ -x target/beryljobd ] || { echo "build first: the line build of deploy/system.toml and review/build.sh" >&2; exit 2; }
export CASE=5 TROUBLE="${TROUBLE:-1}"
exec target/review/cases
