#!/usr/bin/env bash
# Builds the stand-ins of the cases of review/REPORT-2.md. The program itself is built by the
# command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review2 ./review/common2
