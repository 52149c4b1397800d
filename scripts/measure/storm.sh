#!/usr/bin/env bash
# Retry storm: 3 of 8 servers of a service shed every request for 10 s, under
# 70% of the capacity of the other five. Prints goodput, attempts at servers per
# request, and each second, which shows when no request is refused any more.
set -eu
cd "$(dirname "$0")/../.."
. scripts/measure/lib.sh
write_packs
platform
start backends.log ./bin/standin backends --template "$work/packs.toml" --work 50ms
for n in 1 2 3 4; do entry $n "$(echo a b c d | cut -d' ' -f$n)"; done
for n in 1 2 3 4; do await 20 ready $n; done
deploy packs
await 20 curl -sf http://127.0.0.1:24102/v1/packs/dictionary/k
sleep 4
total() { for i in 0 1 2 3 4 5 6 7; do curl -s http://127.0.0.1:$((24010 + i))/stats; done | grep -o "\"$1\":[0-9]*" | cut -d: -f2 | paste -sd+ | bc; }
shed() { for i in 0 1 5; do curl -s -X POST -d "{\"shed\":$1}" http://127.0.0.1:$((24010 + i))/faults >/dev/null; done; }
before=$(( $(total runs) + $(total shed) ))
./bin/standin load --targets 127.0.0.1:24101,127.0.0.1:24102,127.0.0.1:24103,127.0.0.1:24104 \
  --path /v1/packs/dictionary/%d --rate 280 --duration 30s --timeout 5s --seed 3 >"$work/report" &
load=$!
sleep 10; shed true; sleep 10; shed false; wait $load
sent=$(field sent <"$work/report")
echo "sent $sent, answered $(field answered <"$work/report"), attempts at servers for each request: $(echo "scale=3; ($(total runs) + $(total shed) - $before) / $sent" | bc)"
tr -d ' \n' <"$work/report" | grep -o '"refusals":{[^}]*}'; echo
echo "| second | answered | refused | p99 ms |"; echo "|---|---|---|---|"
tr -d ' \n' <"$work/report" | grep -o '{"answered":[^}]*}' | sed 's/p99Millis//; s/[^0-9.,]//g' | awk -F, 'NR > 8 && NR < 28 {printf("| %d | %d | %d | %.0f |\n", NR - 1, $1, $2, $3)}'
