#!/usr/bin/env bash
# Availability while a failure domain is taken out and returned, and while an
# owner of keys freezes. The load on Zaanstreek's catalogue is 70% of the
# capacity that remains without one domain.
set -eu
cd "$(dirname "$0")/../.."
. scripts/measure/lib.sh
domains='["dordrecht", "haarlem", "purmerend", "zaandam"]'
platform
cp deployments/zaanstreek.toml "$work/zaanstreek.toml"
start backends.log ./bin/standin backends --template deployments/zaanstreek.toml --work 50ms
entry 1 dordrecht; entry 2 haarlem; entry 3 purmerend; entry 4 zaandam
for n in 1 2 3 4; do await 20 ready $n; done
deploy zaanstreek
await 20 curl -sf http://127.0.0.1:24102/v1/zaanstreek/catalogue/k
sleep 5
./bin/standin load --targets 127.0.0.1:24101,127.0.0.1:24102,127.0.0.1:24103,127.0.0.1:24104 \
  --path /v1/zaanstreek/catalogue/voice-%d --keys 100000 --rate 500 --duration 60s --timeout 20s \
  --header Redwing-Timeout=8s --seed 3 >"$work/report" &
load=$!
sleep 15; ctl domain take-out dordrecht
runs() { for p in 21000 21004 21008 21012; do curl -s http://127.0.0.1:$p/stats; done | grep -o '"runs":[0-9]*' | cut -d: -f2 | paste -sd+ | bc; }
sleep 5; at5=$(runs); sleep 10; at15=$(runs)
echo "requests that the domain's catalogue servers ran from 5 s to 15 s after the command: $((at15 - at5))"
ctl domain return dordrecht
sleep 15; curl -s -X POST -d '{"freeze":true}' http://127.0.0.1:21001/faults >/dev/null; echo "owner frozen at 45 s"
wait $load
tr -d ' \n' <"$work/report" | grep -o '"sent".*"eachSecond"'; echo
echo "| second | answered | refused | p99 ms |"; echo "|---|---|---|---|"
tr -d ' \n' <"$work/report" | grep -o '{"answered":[^}]*}' | sed 's/p99Millis//; s/[^0-9.,]//g' | awk -F, '{printf("| %d | %d | %d | %.0f |\n", NR - 1, $1, $2, $3)}'
ctl status | sed -n '/LAST MOVES/,$p'
