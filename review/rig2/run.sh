#!/usr/bin/env bash
# Runs a case: run.sh NUMBER FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
folder=$(cd "$2" && pwd)
tmp=$(mktemp -d) || exit 2
test=
# The nodes end with the test; this ends them if it is ended itself.
end() {
  if [ -n "$test" ]; then kill -9 "$test" 2>/dev/null; fi
  for pid in $(cat "$tmp/pids" 2>/dev/null); do
    if grep -aqs beryljobd "/proc/$pid/cmdline"; then kill -9 "$pid"; fi
  done
  rm -rf "$tmp"
}
trap end EXIT
trap 'exit 2' HUP INT TERM
if [ ! -x "$root/target/review-rig2" ] || [ ! -x "$root/target/beryljobd" ]; then
  echo "cannot run: build first (line build of deploy/system.toml, then review/build-2.sh)"
  exit 2
fi
cd "$tmp" || exit 2
ROOT=$root RECORD=$folder/record.txt PIDS=$tmp/pids TMPDIR=$tmp "$root/target/review-rig2" -test.run "^TestCase$1\$" -test.timeout 115s &
test=$!
wait "$test"
status=$?
test=
[ "$status" -le 1 ] || status=2
exit "$status"
