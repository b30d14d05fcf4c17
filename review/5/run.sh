#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x target/figpulley && test -x target/review/case-5 || exit 2
timeout --kill-after=5 110 target/review/case-5
code=$?
test "$code" -le 1 && exit "$code"
exit 2
