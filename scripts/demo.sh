#!/usr/bin/env bash
# End-to-end demo on loopback: the stand-ins and three entry instances run as
# separate processes with both deployments, and one instance is killed. Prints
# PASS or FAIL for each step and exits 0 only if all steps passed. Ends only the
# processes that it started.
set -u
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
failures=0
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap cleanup EXIT

step() { # step NAME COMMAND...: passes if the command succeeds
  local name=$1
  shift
  if "$@" >"$work/out" 2>&1; then
    echo "PASS $name"
  else
    echo "FAIL $name"
    sed 's/^/     /' "$work/out"
    failures=$((failures + 1))
  fi
}

start() { # start LOG COMMAND...: runs the command in the background
  local log=$1
  shift
  "$@" >"$work/$log" 2>&1 &
  pids+=($!)
}

settings() { # settings NUMBER DOMAIN: writes the settings of an entry instance
  cat >"$work/entry$1.toml" <<END
name = "entry$1"
failureDomain = "$2"
failureDomains = ["dordrecht", "haarlem", "purmerend", "zaandam", "delemont", "fribourg", "neuchatel"]

[listen]
callers = "127.0.0.1:2010$1"
operators = "127.0.0.1:2020$1"
peers = "127.0.0.1:2030$1"

[platform]
store = "127.0.0.1:20001"
liveList = "127.0.0.1:20002"

[operator]
tokenFile = "$work/token"
END
}

await() { # await SECONDS COMMAND...: retries until the command succeeds
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $end ] || return 1
    sleep 0.2
  done
}

ready() { curl -sf "http://127.0.0.1:2010$1/healthz"; }
ask() { curl -sS -m 20 -H "Redwing-Timeout: 8s" -w ' status=%{http_code}\n' "$@"; }
answers() { # answers TEXT CURL-ARGUMENTS...: succeeds if the response contains the text
  local text=$1
  shift
  ask "$@" | tee "$work/answer"
  grep -q "$text" "$work/answer"
}
ctl() { ./bin/redwingstall --instance 127.0.0.1:20201 --token-file "$work/token" "$@"; }
owned() { ctl status | grep -q "catalogue.*128 owned" && ctl status | grep -q "stops.*128 owned"; }

echo "demo-token" >"$work/token"
start platform.log ./bin/standin platform --store 127.0.0.1:20001 --live-list 127.0.0.1:20002
start zaanstreek.log ./bin/standin backends --template deployments/zaanstreek.toml --account deployments/zaanstreek-account.toml
start chevriere.log ./bin/standin backends --template deployments/chevriere.toml --account deployments/chevriere-account.toml
settings 1 dordrecht
settings 2 haarlem
settings 3 delemont
for n in 1 2 3; do start "entry$n.log" ./bin/redwingstall serve --config "$work/entry$n.toml"; done
third=${pids[5]}

for n in 1 2 3; do step "entry instance $n is ready" await 20 ready $n; done
for name in zaanstreek chevriere; do
  step "publish template $name" ctl template publish deployments/$name.toml
  step "set account $name" ctl account set deployments/$name-account.toml
done
step "every key has an owner" await 15 owned

requests() { # requests WHEN: sends requests to every service; WHEN labels the steps
  step "catalogue $1" answers status=200 http://127.0.0.1:20101/v1/zaanstreek/catalogue/voice-nl-1
  step "licence $1" answers status=200 -X POST -H "Idempotency-Key: seat-${1// /-}" -d seat http://127.0.0.1:20102/v1/zaanstreek/licence/seat
  step "licence again, from the record $1" answers "Redwing-Replayed: true" -i -X POST -H "Idempotency-Key: seat-${1// /-}" -d seat http://127.0.0.1:20101/v1/zaanstreek/licence/seat
  step "pack download $1" answers "status=200" -o /dev/null "http://127.0.0.1:20101/v1/zaanstreek/pack/nl?size=1000000"
  step "stop list $1" answers status=200 http://127.0.0.1:20102/v1/chevriere/stops/route-7
  step "charge $1" answers status=200 -X POST -H "Idempotency-Key: milk-${1// /-}" -d litre http://127.0.0.1:20101/v1/chevriere/charging/household
  step "map $1" answers status=200 "http://127.0.0.1:20102/v1/chevriere/maps/jura?size=50000"
}
requests "at first"
kill -9 "$third"
echo "     entry instance 3 killed"
requests "after the loss"
step "take a failure domain out" ctl domain take-out dordrecht
left() { ! ctl server list | grep dordrecht | grep catalogue | grep -qv ' 0$'; }
step "its keys have left" await 10 left
step "catalogue while it is out" answers status=200 http://127.0.0.1:20102/v1/zaanstreek/catalogue/voice-nl-1
step "return it" ctl domain return dordrecht
step "a request without its key is refused" answers "notRun" -i -X POST -d x http://127.0.0.1:20101/v1/chevriere/charging/household
step "status" ctl status
cat "$work/out"
step "counters" ctl counters
grep -E "^(requests|hops|journal|refusals|retries|moves|orders)" "$work/out"
if [ $failures -eq 0 ]; then echo "demo: all steps passed"; else
  echo "demo: $failures steps failed"
  tail -n 20 "$work"/entry*.log
fi
exit $((failures > 0))
