#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. Run it from the repository's
# root, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-rig3 ./review/rig3
