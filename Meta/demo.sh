#!/usr/bin/env bash
# Builds daisyroute and runs the Koperative deployment on loopback with a stand-in for its backend servers: 3 control
# processes, 6 entry processes, 110 backend servers. Kills one entry process and promotes a second revision while
# queries run, stops everything, and ends with one line. Fails when any answer was wrong.
set -euo pipefail
cd "$(dirname "$0")/.."

Meta/install-packages.sh
environment=koperative
data_centres=(gasabo kicukiro nyarugenge)
source Meta/deployment.sh

# Stops the named processes by SIGTERM and waits for them; fails when one did not exit with 0.
stop() {
    local name result=0
    for name in "$@"; do
        kill -TERM "${process_ids[$name]}" 2> /dev/null || true
    done
    for name in "$@"; do
        if ! wait "${process_ids[$name]}"; then
            echo "demo: $name did not stop cleanly; see $folder/$name.log" >&2
            result=1
        fi
        unset "process_ids[$name]"
    done
    return "$result"
}

clean_up() {
    local result=$?
    kill_now "${!process_ids[@]}"
    if [ "$result" -eq 0 ]; then
        rm -rf "$folder"
    else
        echo "demo: failed; logs are in $folder" >&2
    fi
}
trap clean_up EXIT

# Repeats a command until it succeeds, for at most 60 s: SENTENCE COMMAND…
wait_until() {
    local sentence=$1 end=$((SECONDS + 60))
    shift
    echo "demo: waiting until $sentence"
    until "$@" > "$folder/wait.log" 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then
            echo "demo: gave up waiting until $sentence" >&2
            cat "$folder/wait.log" >&2
            exit 1
        fi
        sleep 0.3
    done
}

has_entries() {
    [ "$("$bin/daisyroute" entries --json | grep -o '"id"' | wc -l)" -eq "$1" ]
}

answers_whole() {
    "$bin/daisyroute" query --index=supply-ledger --class=report --tenant=suppliers "find order 7" | grep -q complete
}

prepare_deployment
# The documents name 127.0.0.1; here the backend servers listen on this demo's own loopback address.
sed "s/127\.0\.0\.1/$ip/" Documents/koperative.toml > "$folder/first.toml"
# The second revision takes one backend server out of use.
sed '/id = "desk-00a"/s/ }/, leaving = true }/' "$folder/first.toml" > "$folder/second.toml"

echo "demo: starting processes on $ip"
start_stand_in "$folder/first.toml" 7
start_control
entries=()
for number in 0 1 2 3 4 5; do
    entries+=("entry-$number")
    start_entry "$number"
done

hash=$("$bin/daisyroute" submit --timeout-ms=30000 "$folder/first.toml")
"$bin/daisyroute" promote --base-revision=0 "$hash" > "$folder/first-revision"
echo "demo: revision $(cat "$folder/first-revision") is in effect"
wait_until "6 entry processes are listed" has_entries 6
wait_until "an answer covers all shards" answers_whole

echo "demo: sending queries"
mix=counter-desk/counter/shops=6,counter-desk/counter/members=2,supply-ledger/report/suppliers=2
mix+=,job-board/transaction/members/once=1,payout-roll/transaction/head-office/once=1
start load "$bin/load-generator" --entries="$DAISYROUTE_ENTRY_ADDRESSES" --document="$folder/first.toml" --mix="$mix" \
    --rate=40 --queries=1000 --seed=7 --run-id="demo" --json="$folder/load.json"
sleep 6
echo "demo: killing entry-5"
kill_now entry-5
unset "entries[5]"
sleep 6
echo "demo: promoting a second revision:"
"$bin/daisyroute" diff "$folder/second.toml"
hash=$("$bin/daisyroute" submit "$folder/second.toml")
"$bin/daisyroute" promote --base-revision="$(cat "$folder/first-revision")" "$hash" > "$folder/second-revision"
echo "demo: revision $(cat "$folder/second-revision") is in effect"

load_result=0
wait "${process_ids[load]}" || load_result=$?
unset "process_ids[load]"
line=$(tail -n 1 "$folder/load.log")
curl -sS "http://$stand_in/summary" > "$folder/summary.json"

echo "demo: stopping processes"
stop "${entries[@]}"
stop control-0 control-1 control-2
stop stand-in
for fault in '"repeated_non_idempotent":\[\]' '"over_slots":\[\]' '"over_connections":\[\]'; do
    if ! grep -q "$fault" "$folder/summary.json"; then
        echo "demo: the stand-in saw a fault, expected $fault:" >&2
        cat "$folder/summary.json" >&2
        exit 1
    fi
done
if [ "$load_result" -ne 0 ]; then
    cat "$folder/load.log" "$folder/load.json" >&2
    echo "demo: wrong ${line#load: * }"
    exit 1
fi
grep '^load: reasons' "$folder/load.log" | sed 's/^load: reasons/demo: reasons of partial, refused and failed queries:/'
echo "demo: ${line#load: }" | sed 's/ wrong=0//'
