#!/usr/bin/env bash
# Runs the randomised soak with fresh or given seeds: Meta/soak.sh [--seed N] [--minutes M]. Logs of failed seeds
# are kept under Build/soak.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=$(date +%s)
minutes=3
while [ "$#" -gt 0 ]; do
    case "$1" in
    --seed) seed="$2"; shift 2 ;;
    --minutes) minutes="$2"; shift 2 ;;
    *) echo "usage: Meta/soak.sh [--seed N] [--minutes M]" >&2; exit 2 ;;
    esac
done
cmake --preset release > /dev/null
cmake --build --preset release --target daisyroute daisyroute-soak > /dev/null
end=$((SECONDS + minutes * 60))
failed=0
while [ "$SECONDS" -lt "$end" ]; do
    Build/bin/daisyroute-soak --seed="$seed" --seconds=20 --directory=Build/soak || failed=1
    seed=$((seed + 1))
done
exit "$failed"
