#!/usr/bin/env bash
# Measures the counter-desk index of the Koperative deployment at full size under load and faults: 3 control processes, 12 entry
# processes, 110 stand-in servers with a median service time of 20 ms. Runs each scenario with and without hedging and
# prints one row each; the rows are also written as JSON lines to Build/measurements.jsonl.
#
# Usage: Meta/measure.sh [SCENARIO]…   Environment: SECONDS_PER_RUN (default 12), SEED (default 7).
set -euo pipefail
cd "$(dirname "$0")/.."

environment=koperative
data_centres=(gasabo kicukiro nyarugenge)
source Meta/deployment.sh
output=Build/measurements.jsonl
run_seconds=${SECONDS_PER_RUN:-12}
seed=${SEED:-7}
entries=12
shards=20
# 2 replicas of 2 slots per shard and a mean of 20.9 ms (lognormal, median 20 ms, sigma 0.3) give 191 queries/s.
capacity=191

clean_up() {
    kill_now "${!process_ids[@]}"
    rm -rf "$folder"
}
trap clean_up EXIT

# Changes the behaviour of all servers, or of one: JSON_FIELDS [SERVER]
behave() {
    local target=""
    if [ -n "${2:-}" ]; then
        target="\"server\": \"$2\", "
    fi
    curl -sS -d "{$target\"set\": {$1}}" "http://$stand_in/behaviour" > /dev/null
}

# Prints a number of a JSON file by its key: FILE KEY
number_of() {
    grep -oE "\"$2\": *[0-9.e+-]+" "$1" | head -n 1 | cut -d: -f2 | tr -d ' '
}

# Runs load and prints one row: SCENARIO VARIANT PERCENT_OF_CAPACITY
measure() {
    local scenario=$1 variant=$2 rate=$(($3 * capacity / 100)) queries row
    queries=$((rate * run_seconds))
    curl -sS -d '{}' "http://$stand_in/reset" > /dev/null
    "$bin/load-generator" --entries="$ip:20100,$ip:20101,$ip:20102" --document="$folder/hedging.toml" \
        --mix=counter-desk/counter/shops=1 --rate="$rate" --queries="$queries" --threads=600 --seed="$seed" \
        --run-id="$scenario-$variant" --json="$folder/load.json" > "$folder/load.log" 2>&1 || true
    if [ ! -s "$folder/load.json" ]; then
        cat "$folder/load.log" >&2
        exit 1
    fi
    curl -sS "http://$stand_in/summary" > "$folder/summary.json"
    row=$(awk -v scenario="$scenario" -v variant="$variant" -v rate="$rate" -v queries="$queries" -v shards="$shards" \
        -v p50="$(number_of "$folder/load.json" p50)" -v p99="$(number_of "$folder/load.json" p99)" \
        -v p999="$(number_of "$folder/load.json" p999)" -v whole="$(number_of "$folder/load.json" whole)" \
        -v partial="$(number_of "$folder/load.json" partial)" -v refused="$(number_of "$folder/load.json" refused)" \
        -v failed="$(number_of "$folder/load.json" failed)" -v wrong="$(number_of "$folder/load.json" wrong)" \
        -v started="$(number_of "$folder/summary.json" started)" \
        -v over="$(grep -c '"over_connections":\[\],"over_slots":\[\]' "$folder/summary.json" || true)" 'BEGIN {
            extra = (whole + partial) > 0 ? started / (shards * (whole + partial)) - 1 : 0
            printf "{\"scenario\": \"%s\", \"variant\": \"%s\", \"rate\": %d, \"queries\": %d, \"p50_ms\": %.1f, ", scenario,
                variant, rate, queries, p50
            printf "\"p99_ms\": %.1f, \"p999_ms\": %.1f, \"whole\": %.4f, \"partial\": %d, \"refused\": %d, ", p99, p999,
                whole / queries, partial, refused
            printf "\"failed\": %d, \"wrong\": %d, \"extra_load\": %.4f, \"limits_kept\": %s}\n", failed, wrong, extra,
                over == 1 ? "true" : "false"
        }')
    echo "$row" | tee -a "$output"
}

# Puts the document of a variant in effect: VARIANT
use_variant() {
    local hash
    hash=$("$bin/daisyroute" submit --timeout-ms=30000 "$folder/$1.toml")
    revision=$("$bin/daisyroute" promote --timeout-ms=30000 --base-revision="$revision" "$hash" 2> /dev/null)
}

run_scenario() {
    local scenario=$1 variant=$2
    behave '"medianMs": 20, "stragglerProbability": 0, "slowFactor": 1, "up": true'
    case $scenario in
    load-40) measure "$scenario" "$variant" 40 ;;
    load-70) measure "$scenario" "$variant" 70 ;;
    load-150) measure "$scenario" "$variant" 150 ;;
    stragglers)
        behave '"stragglerProbability": 0.01, "stragglerFactor": 20'
        measure "$scenario" "$variant" 40
        ;;
    slow-server)
        behave '"slowFactor": 5' desk-00a
        measure "$scenario" "$variant" 40
        ;;
    lost-server)
        behave '"up": false' desk-00a
        measure "$scenario" "$variant" 40
        ;;
    lost-entry)
        (
            sleep 3
            kill -KILL "${process_ids[entry-11]}"
        ) &
        measure "$scenario" "$variant" 40
        wait "${process_ids[entry-11]}" 2> /dev/null || true
        start_entry 11
        sleep 8
        ;;
    *)
        echo "measure: unknown scenario $scenario" >&2
        exit 2
        ;;
    esac
}

prepare_deployment
sed "s/127\.0\.0\.1/$ip/" Documents/koperative.toml > "$folder/hedging.toml"
sed 's/^extra_load_budget = .*/extra_load_budget = 0.0/' "$folder/hedging.toml" > "$folder/no-hedging.toml"

start_stand_in "$folder/hedging.toml" "$seed"
start_control
for ((number = 0; number < entries; number++)); do
    start_entry "$number"
done
revision=0
use_variant hedging
sleep 8
: > "$output"
if [ "$#" -eq 0 ]; then
    set -- load-40 load-70 load-150 stragglers slow-server lost-server lost-entry
fi
for scenario in "$@"; do
    for variant in hedging no-hedging; do
        use_variant "$variant"
        run_scenario "$scenario" "$variant"
    done
done
