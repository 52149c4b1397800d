#!/usr/bin/env bash
# Runs all tests except those listed in KNOWN-RED.txt, and prints that list. Each
# entry starts with a line "test: NAME"; the full name must match.
set -euo pipefail
cd "$(dirname "$0")/.."
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|' -)
skip=()
if [ -n "$known" ]; then
  echo "known failures, skipped:"
  grep -v '^#' KNOWN-RED.txt | sed 's/^/  /'
  skip=(-skip "^(${known})$")
fi
# These fill a process with hundreds of clients, and need the machine for themselves.
apart=(./test/memory ./test/slowclients)
mapfile -t beside < <(go list ./... | grep -vE '/test/(memory|slowclients)$')
go test -race -count=1 -timeout 20m "${skip[@]}" "${beside[@]}"
go test -race -count=1 -timeout 20m -p 1 "${skip[@]}" "${apart[@]}"
