#!/usr/bin/env bash
# Tail latency while 2 of 8 servers are ten times slower for 5 s at a time:
# round robin directly to the servers, the product without hedging, and the
# product with hedging; each without and with stragglers, in one run.
set -eu
cd "$(dirname "$0")/../.."
. scripts/measure/lib.sh
write_packs
rate=${RATE:-400}
seconds=20
runs() { for i in 0 1 2 3 4 5 6 7; do curl -s http://127.0.0.1:$((24010 + i))/stats; done | grep -o '"runs":[0-9]*' | cut -d: -f2 | paste -sd+ | bc; }
slow() { curl -s -X POST -d "{\"delayMillis\":$2}" http://127.0.0.1:$((24010 + $1))/faults >/dev/null; }
straggle() { # slows another two servers every 5 s
  for pair in "0 1" "2 7" "4 5" "6 3"; do
    for i in $pair; do slow "$i" 45; done
    sleep 5
    for i in $pair; do slow "$i" 0; done
  done
}
measure() { # measure NAME TARGETS PATH
  for when in calm stragglers; do
    before=$(runs)
    [ $when = calm ] || straggle &
    helper=$!
    ./bin/standin load --targets "$2" --path "$3" --rate "$rate" --duration ${seconds}s --seed 5 >"$work/report"
    wait $helper || true
    awk -v name="$1" -v when=$when -v sent="$(field sent <"$work/report")" -v answered="$(field answered <"$work/report")" \
      -v ran=$(( $(runs) - before )) -v p50="$(field p50Millis <"$work/report")" -v p99="$(field p99Millis <"$work/report")" -v p999="$(field p999Millis <"$work/report")" \
      'BEGIN { printf("| %s | %s | %.1f | %.1f | %.1f | %.2f %% | %d |\n", name, when, p50, p99, p999, 100 * (ran - answered) / answered, sent - answered) }'
  done
}
platform
start backends.log ./bin/standin backends --template "$work/packs.toml" --work 5ms
await 10 curl -sf http://127.0.0.1:24017/stats
echo "| policy | servers | p50 ms | p99 ms | p99.9 ms | extra requests | refused |"
echo "|---|---|---|---|---|---|---|"
direct=$(for i in 0 1 2 3 4 5 6 7; do echo "127.0.0.1:$((24010 + i))"; done | paste -sd,)
measure "round robin, no router" "$direct" /dictionary/%d
for budget in ${BUDGETS:-0 0.05}; do
  for n in 1 2 3 4; do
    domain=$(echo a b c d | cut -d' ' -f$n)
    entry $n "$domain" "[policy]
hedgeBudget = $budget"
  done
  for n in 1 2 3 4; do await 20 ready $n; done
  deploy packs
  await 20 curl -sf http://127.0.0.1:24102/v1/packs/dictionary/k
  sleep 4
  measure "hedge budget $budget" 127.0.0.1:24101,127.0.0.1:24102,127.0.0.1:24103,127.0.0.1:24104 /v1/packs/dictionary/%d
  ./bin/redwingstall --instance 127.0.0.1:24301 --token-file "$work/token" counters hedges || true
  for pid in "${pids[@]:2}"; do kill -9 "$pid"; done
  pids=("${pids[@]:0:2}")
done
