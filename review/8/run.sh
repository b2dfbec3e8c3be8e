#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
export TROUBLE=${TROUBLE:-1}
exec "$(dirname "$0")/../rig2/run.sh" 8 "$(dirname "$0")"
