#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
timeout --kill-after=5 110 python3 -B case.py &
child=$!
trap 'kill -TERM "$child"' TERM INT
wait "$child"
status=$?
# A signal ends the first wait.
while kill -0 "$child" 2>/dev/null; do
    wait "$child"
    status=$?
done
case "$status" in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
