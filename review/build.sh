#!/bin/bash
# Builds the stand-ins of the review's scripts. Run it from anywhere, after the build of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -ldflags=-linkmode=external -o target/review-standin ./review
