#!/usr/bin/env bash
# Processor time, memory, network traffic and store calls of idle entry
# instances, by their number. Both deployments are set up; no client sends
# requests.
set -eu
cd "$(dirname "$0")/../.."
. scripts/measure/lib.sh
domains='["dordrecht", "haarlem", "purmerend", "zaandam", "delemont", "fribourg", "neuchatel"]'
names=(dordrecht haarlem purmerend zaandam delemont fribourg neuchatel)
bytes() { awk -F'[: ]+' '/^ *lo:/ {print $3}' /proc/net/dev; }
calls() { curl -s http://127.0.0.1:24001/counts | grep -o '[0-9]*' | paste -sd+ | bc; }
echo "| instances | processor of one, % of a core | resident of one, MB | loopback KB/s an instance | store calls/s in all |"
echo "|---|---|---|---|---|"
platform
for name in zaanstreek chevriere; do
  cp "deployments/$name.toml" "$work/$name.toml"
  start $name.log ./bin/standin backends --template "deployments/$name.toml"
done
count=0
for n in ${SIZES:-2 4 8 12 16}; do
  while [ $count -lt $n ]; do
    count=$((count + 1))
    entry $count "${names[$((count % 7))]}"
    await 30 ready $count
  done
  [ $n -gt ${FIRST:-2} ] || for name in zaanstreek chevriere; do deploy $name; done
  sleep 8
  used=0; for pid in "${pids[@]:3}"; do used=$((used + $(ticks "$pid"))); done
  b=$(bytes); c=$(calls)
  sleep 10
  now=0; kib=0; for pid in "${pids[@]:3}"; do now=$((now + $(ticks "$pid"))); kib=$((kib + $(resident "$pid"))); done
  awk -v n=$n -v used=$((now - used)) -v kib=$kib -v b=$(( $(bytes) - b )) -v c=$(( $(calls) - c )) \
    'BEGIN { printf("| %d | %.2f | %.1f | %.1f | %.1f |\n", n, used / 10 / n, kib / n / 1000, b / 10 / n / 1000, c / 10) }'
done
