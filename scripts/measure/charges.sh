#!/usr/bin/env bash
# Requests with an idempotency key: throughput, latency and store writes per
# request, by the number of requests in flight; with a store that responds
# immediately, and after 5 ms.
set -eu
cd "$(dirname "$0")/../.."
. scripts/measure/lib.sh
cat >"$work/dairy.toml" <<'END'
name = "dairy"
body = """
[[services]]
name = "charging"
kind = "atMostOnce"
{{ range $i := seq 9 }}
[[services.servers]]
name = "charging-{{ $i }}"
address = "127.0.0.1:{{ add 24010 $i }}"
failureDomain = "{{ pick $.domains $i }}"
slots = 16
connections = 100
coldLimit = 16
{{ end }}
"""
[parameters.domains]
type = "strings"
default = "a,b,c"
END
platform
start backends.log ./bin/standin backends --template "$work/dairy.toml" --work 2ms
for n in 1 2 3; do entry $n "$(echo a b c | cut -d' ' -f$n)"; done
for n in 1 2 3; do await 20 ready $n; done
deploy dairy
await 20 curl -sf -X POST -H "Idempotency-Key: warm" http://127.0.0.1:24102/v1/dairy/charging/k
sleep 4
swaps() { curl -s http://127.0.0.1:24001/counts | grep -o '"swap":[0-9]*' | cut -d: -f2; }
echo "| store answers after | in flight | charges/s | p50 ms | p99 ms | writes of the store for each charge | writes/s |"
echo "|---|---|---|---|---|---|---|"
for delay in 0 5; do
  curl -s -X POST -d "{\"delayMillis\":$delay}" http://127.0.0.1:24001/faults >/dev/null
  for n in 1 16 64; do
    before=$(swaps)
    ./bin/standin load --targets 127.0.0.1:24101,127.0.0.1:24102,127.0.0.1:24103 --path /v1/dairy/charging/h%d \
      --method POST --idempotency-key --in-flight $n --duration 4s >"$work/report"
    awk -v delay=$delay -v n=$n -v writes=$(( $(swaps) - before )) -v answered="$(field answered <"$work/report")" -v seconds="$(field seconds <"$work/report")" \
      -v p50="$(field p50Millis <"$work/report")" -v p99="$(field p99Millis <"$work/report")" \
      'BEGIN { printf("| %d ms | %d | %.0f | %.1f | %.1f | %.2f | %.0f |\n", delay, n, answered / seconds, p50, p99, writes / answered, writes / seconds) }'
  done
done
