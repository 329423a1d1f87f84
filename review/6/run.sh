#!/bin/sh
# Plays the case and writes what was sent, answered and run to record.txt.
# With TROUBLE=0 it does the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
record=review/6/record.txt
rm -f "$record"
target/review-2/release/review-2 renamed "$(dirname "$record")"
status=$?
[ "$status" -le 1 ] && [ -s "$record" ] || status=2
exit "$status"
