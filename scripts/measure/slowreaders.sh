#!/usr/bin/env bash
# Memory of the instances while 200 callers read 64 MB each at 200 KB/s, over
# two hops.
set -eu
cd "$(dirname "$0")/../.."
. scripts/measure/lib.sh
cat >"$work/echo.toml" <<'END'
name = "echo"
body = """
[[services]]
name = "echo"
kind = "replicated"
[[services.servers]]
name = "e1"
address = "127.0.0.1:24010"
failureDomain = "a"
slots = 400
connections = 4000
coldLimit = 400
"""
END
platform
start backend.log ./bin/standin backends --template "$work/echo.toml" --work 0s
entry 1 a; home=$last
entry 2 b; other=$last
await 20 ready 1; await 20 ready 2
deploy echo
await 20 curl -sf http://127.0.0.1:24102/v1/echo/echo/k
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
