#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/waxwinghavend ] && [ -x target/rig3 ] || { echo "build the deploy file and review/build-3.sh first"; exit 2; }
exec target/rig3 -case cancels-in-a-wave -record review/11/record.txt
