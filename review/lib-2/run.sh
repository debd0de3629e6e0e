#!/bin/bash
# Plays the case $1 in the folder $2: `run.sh NAME FOLDER`. Ends all that it started.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/laburnum-sidecar target/review-2/case-2; do
    [ -x "$program" ] || { echo "missing: $program"; exit 2; }
done
setsid target/review-2/case-2 "$1" "$2" &
case=$!
(sleep 110; kill -KILL -- -$case) 2>/dev/null &
guard=$!
trap 'kill -KILL -- -$case; kill $guard' INT TERM
wait $case
code=$?
kill -KILL -- -$case 2>/dev/null
kill $guard 2>/dev/null
[ $code -le 2 ] || code=2
exit $code
