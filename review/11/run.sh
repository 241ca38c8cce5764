#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
# it leaves out the disruption. It needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/hornbeamwell-node target/review-3-rig; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review-3-rig outgrown-memory target/hornbeamwell-node review/11/record.txt
