#!/usr/bin/env bash
# Added latency of the request path: requests to the stand-in server directly,
# through its home instance (one hop), and through another instance (two hops),
# in one run.
set -eu
cd "$(dirname "$0")/../.."
. scripts/measure/lib.sh
echo_path 1024
sleep 3
echo "idle: resident KiB home $(resident $home), other $(resident $other)"
a=$(ticks $home); b=$(ticks $other); sleep 5
echo "idle: processor seconds in 5 s: home $(( $(ticks $home) - a ))/100, other $(( $(ticks $other) - b ))/100"
echo "| path | in flight | requests/s | p50 ms | p99 ms | requests/s per core of the instances |"
echo "|---|---|---|---|---|---|"
for n in 1 64 512; do
  for path in "direct 24010 /echo/k" "one-hop 24101 /v1/echo/echo/k" "two-hops 24102 /v1/echo/echo/k"; do
    set -- $path
    a=$(( $(ticks $home) + $(ticks $other) ))
    ./bin/standin load --targets 127.0.0.1:$2 --path "$3" --in-flight $n --duration 5s >"$work/report"
    used=$(( $(ticks $home) + $(ticks $other) - a ))
    awk -v name=$1 -v n=$n -v used=$used -v answered="$(field answered <"$work/report")" -v seconds="$(field seconds <"$work/report")" \
      -v p50="$(field p50Millis <"$work/report")" -v p99="$(field p99Millis <"$work/report")" \
      'BEGIN { core = "-"; if (used > 10) { core = sprintf("%.0f", answered / (used / 100)) }
        printf("| %s | %d | %.0f | %.2f | %.2f | %s |\n", name, n, answered / seconds, p50, p99, core) }'
  done
done
grep -o '"refusals": {[^}]*}' "$work/report" || true
