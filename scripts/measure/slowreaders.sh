#!/usr/bin/env bash
# Resident memory of the instances while 200 clients each download 64 MB at
# 200 KB/s over two hops.
set -eu
cd "$(dirname "$0")/../.."
. scripts/measure/lib.sh
echo_path 400
sleep 4
echo "before: resident KiB home $(resident $home), other $(resident $other)"
for n in $(seq 200); do
  curl -s -m 12 --limit-rate 200k -o /dev/null "http://127.0.0.1:24102/v1/echo/echo/$n?size=64000000" &
  pids+=($!)
done
for second in 3 6 9; do
  sleep 3
  echo "after $second s: resident KiB home $(resident $home), other $(resident $other)"
done
