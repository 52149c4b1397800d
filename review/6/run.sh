#!/usr/bin/env bash
# Some answers are sent twice, late, to requests that may run once on a service divided by key.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../common2/run-case.sh" repeated-answer "$(dirname "$0")"
