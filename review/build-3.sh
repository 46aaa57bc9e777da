#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig3 ./review/rig3
