#!/usr/bin/env bash
# Empty workers are added while tasks of a queue with an advisor wait. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 plays it without the added workers.
set -uo pipefail
cd "$(dirname "$0")/../.."
for program in target/waxwinghavend target/rig2; do
  [ -x "$program" ] || { echo "$program is missing: run the build line of deploy/system.toml and review/build-2.sh"; exit 2; }
done
exec target/rig2 -case advice -record review/6/record.txt
