#!/usr/bin/env bash
# usage: run-case.sh CASE FOLDER
# Plays a case of target/review2 with the program and the arguments of deploy/system.toml, and
# writes FOLDER/record.txt. With TROUBLE=0 the case runs without its disruption.
set -u
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)
[ -x target/review2 ] && [ -x "${command%% *}" ] || { echo "not built: target/review2 and ${command%% *}" >&2; exit 2; }
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
TROUBLE=${TROUBLE:-1} timeout -k 2 117 target/review2 "$1" "$command" "$folder/record.txt" "$work"
code=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$work"/*.log "$KEEP_LOGS"/
case $code in 0 | 1) exit $code ;; esac
exit 2
