# Functions of the measurements. They start processes on loopback and end only
# these.
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap cleanup EXIT
start() { # start LOG COMMAND...: runs it and sets $last to its process id
  local log=$1
  shift
  "$@" >"$work/$log" 2>&1 &
  last=$!
  pids+=("$last")
}
await() { # await SECONDS COMMAND...: retries until the command succeeds, or exits
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $end ] || { echo "timeout: $*" >&2; tail -n 5 "$work"/*.log >&2; exit 1; }
    sleep 0.1
  done
}
domains='["a", "b", "c", "d"]'
entry() { # entry NUMBER DOMAIN [EXTRA-SETTINGS]: starts entry instance NUMBER
  cat >"$work/entry$1.toml" <<END
name = "entry$1"
failureDomain = "$2"
failureDomains = $domains
[listen]
callers = "127.0.0.1:$((24100 + $1))"
operators = "127.0.0.1:$((24300 + $1))"
peers = "127.0.0.1:$((24500 + $1))"
[platform]
store = "127.0.0.1:24001"
liveList = "127.0.0.1:24002"
[operator]
tokenFile = "$work/token"
${3:-}
END
  start "entry$1.log" ./bin/redwingstall serve --config "$work/entry$1.toml"
}
ready() { curl -sf -m 2 "http://127.0.0.1:$((24100 + $1))/healthz"; }
ctl() { ./bin/redwingstall --instance 127.0.0.1:24301 --token-file "$work/token" "$@"; }
platform() {
  echo token >"$work/token"
  start platform.log ./bin/standin platform --store 127.0.0.1:24001 --live-list 127.0.0.1:24002
}
deploy() { # deploy NAME: publishes template $work/NAME.toml and sets account NAME
  printf 'name = "%s"\ntemplate = "%s"\n' "$1" "$1" >"$work/$1-account.toml"
  await 20 ctl template publish "$work/$1.toml"
  await 20 ctl account set "$work/$1-account.toml"
}
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; } # processor time in 1/100 s
resident() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; } # KiB
field() { sed -n "s/^  \"$1\": \([0-9.]*\),*$/\1/p"; }
write_packs() { # writes a template: one pooled service, 8 servers in 4 failure domains
cat >"$work/packs.toml" <<'END'
name = "packs"
body = """
[[services]]
name = "dictionary"
kind = "replicated"
{{ range $i := seq 8 }}
[[services.servers]]
name = "d{{ $i }}"
address = "127.0.0.1:{{ add 24010 $i }}"
failureDomain = "{{ pick $.domains $i }}"
slots = 4
connections = 100
{{ end }}
"""
[parameters.domains]
type = "strings"
default = "a,b,c,d"
END
}
echo_path() { # echo_path SLOTS: starts one server, its home instance ($home) and another ($other)
  cat >"$work/echo.toml" <<END
name = "echo"
body = """
[[services]]
name = "echo"
kind = "replicated"
[[services.servers]]
name = "e1"
address = "127.0.0.1:24010"
failureDomain = "a"
slots = $1
connections = 4000
coldLimit = $1
"""
END
  platform
  start backend.log ./bin/standin backends --template "$work/echo.toml" --work 0s
  entry 1 a; home=$last
  entry 2 b; other=$last
  await 20 ready 1; await 20 ready 2
  deploy echo
  await 20 curl -sf http://127.0.0.1:24102/v1/echo/echo/k
}
