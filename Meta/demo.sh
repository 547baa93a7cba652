#!/usr/bin/env bash
# Builds daisyroute and runs the Koperative deployment on loopback with a stand-in for its backend servers: 3 control
# processes, 6 entry processes, 110 backend servers. Kills one entry process and promotes a second revision while
# queries run, stops everything, and ends with one line. Fails when any answer was wrong.
set -euo pipefail
cd "$(dirname "$0")/.."

Meta/install-packages.sh
cmake --preset release > /dev/null
cmake --build --preset release --target daisyroute backend-stand-in load-generator

bin=Build/bin
folder=$(mktemp -d)
# The whole 127.0.0.0/8 is loopback; an address from the process id keeps two demos apart.
ip=127.$((64 + ($$ >> 16) % 64)).$((($$ >> 8) % 256)).$((128 + $$ % 127))
data_centres=(gasabo kicukiro nyarugenge)
declare -A process_ids=()

# Starts a program in the background: NAME COMMAND…
start() {
    local name=$1
    shift
    "$@" > "$folder/$name.log" 2>&1 &
    process_ids[$name]=$!
}

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
    local result=$? name
    for name in "${!process_ids[@]}"; do
        kill -KILL "${process_ids[$name]}" 2> /dev/null || true
    done
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

(umask 077 && head -c 32 /dev/urandom | base64 > "$folder/key")
# The documents name 127.0.0.1; here the backend servers listen on this demo's own loopback address.
sed "s/127\.0\.0\.1/$ip/" Documents/koperative.toml > "$folder/first.toml"
# The second revision takes one backend server out of use.
sed '/id = "desk-00a"/s/ }/, leaving = true }/' "$folder/first.toml" > "$folder/second.toml"

members=control-0=$ip:20200,control-1=$ip:20201,control-2=$ip:20202
controls=$ip:20200,$ip:20201,$ip:20202
export DAISYROUTE_KEY_FILE=$folder/key
export DAISYROUTE_CONTROL_HTTP_ADDRESSES=$ip:20100,$ip:20101,$ip:20102
export DAISYROUTE_ENTRY_ADDRESSES=$DAISYROUTE_CONTROL_HTTP_ADDRESSES

echo "demo: starting processes on $ip"
start stand-in "$bin/backend-stand-in" --document="$folder/first.toml" --admin="$ip:20900" --seed=7
for number in 0 1 2; do
    start "control-$number" "$bin/daisyroute" control --node-id="control-$number" \
        --data-centre="${data_centres[$number]}" --environment=koperative --data-directory="$folder/control-$number" \
        --http-address="$ip:$((20100 + number))" --peer-address="$ip:$((20200 + number))" --members="$members"
done
entries=()
for number in 0 1 2 3 4 5; do
    entries+=("entry-$number")
    start "entry-$number" "$bin/daisyroute" entry --entry-id="entry-$number" \
        --data-centre="${data_centres[$((number % 3))]}" --environment=koperative \
        --http-address="$ip:$((20300 + number))" --peer-address="$ip:$((20400 + number))" \
        --control-addresses="$controls"
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
kill -KILL "${process_ids[entry-5]}"
wait "${process_ids[entry-5]}" 2> /dev/null || true
unset "process_ids[entry-5]" "entries[5]"
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
curl -sS "http://$ip:20900/summary" > "$folder/summary.json"

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
