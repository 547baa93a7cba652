#!/usr/bin/env bash
# Measures how state, traffic and processor time of each role grow with entry processes, backend servers, queries,
# promotions and non-idempotent requests. Prints one line per process role and run, and fits no curve: see
# docs/CAPACITY.md for the slopes taken from these lines.
#
# Usage: Meta/slopes.sh [entries|servers|queries|promotions|claims|documents]…
set -euo pipefail
cd "$(dirname "$0")/.."

environment=slopes
data_centres=(a a a)
source Meta/deployment.sh
settle_seconds=${SETTLE_SECONDS:-6}
sample_seconds=${SAMPLE_SECONDS:-10}
ticks_per_second=$(getconf CLK_TCK)

clean_up() {
    kill_now "${!process_ids[@]}"
    rm -rf "$folder"
}
trap clean_up EXIT

# Writes a document with SERVERS servers, two to a shard, in one index: SERVERS
write_document() {
    local servers=$1 shard
    printf 'environment = "slopes"\naddress_max_age = "5 s"\n'
    printf '[[class]]\nname = "bulk"\npolicy = "coverage"\ndeadline = "5 s"\nmax_queries_in_flight = 64\n'
    printf '[[tenant]]\nname = "all"\n[[index]]\nname = "wide"\nslots_per_server = 2\nconnections_per_server = 30\n'
    printf 'connect_time = "1 ms"\nshards = [\n'
    for ((shard = 0; shard < servers / 2; shard++)); do
        printf '    { name = "%04d", servers = ["s%04da", "s%04db"] },\n' "$shard" "$shard" "$shard"
    done
    printf ']\nservers = [\n'
    for ((shard = 0; shard < servers / 2; shard++)); do
        printf '    { id = "s%04da", address = "%s:%d", data_centre = "a" },\n' "$shard" "$ip" $((21000 + shard * 2))
        printf '    { id = "s%04db", address = "%s:%d", data_centre = "b" },\n' "$shard" "$ip" $((21001 + shard * 2))
    done
    printf ']\n'
}

# Prints "cpu_ticks resident_kb" of a process: NAME
usage_of() {
    local stat
    stat=$(cat "/proc/${process_ids[$1]}/stat")
    stat=${stat##*) }
    # shellcheck disable=SC2086
    set -- $stat "$1"
    echo "$((${12} + ${13})) $(awk '/VmRSS/ {print $2}' "/proc/${process_ids[${!#}]}/status")"
}

# Prints "sent received calls" of a process from its metrics: HTTP_ADDRESS
traffic_of() {
    curl -sS "http://$1/metrics" | awk '
        /^daisyroute_peer_socket_bytes_total.*sent/ { sent = $NF }
        /^daisyroute_peer_socket_bytes_total.*received/ { received = $NF }
        /^daisyroute_peer_calls_total/ { calls += $NF }
        END { printf "%d %d %d\n", sent, received, calls }'
}

revision() {
    curl -sS "http://${http_of[control-0]}/metrics" | awk '/^daisyroute_revision/ { printf "%d\n", $NF }'
}

snapshot() {
    local name
    for name in "${measured[@]}"; do
        echo "$name $(usage_of "$name") $(traffic_of "${http_of[$name]}")"
    done
}

find_leader() {
    local name text
    for name in control-0 control-1 control-2; do
        text=$(curl -sS "http://${http_of[$name]}/metrics")
        if grep -q '^daisyroute_control_leader 1' <<< "$text"; then
            echo "$name"
        fi
    done
}

# Prints one line per role from two snapshots: LABEL ENTRIES SERVERS PROMOTIONS
report() {
    local leader
    leader=$(find_leader)
    paste -d ' ' "$folder/before" "$folder/after" | awk -v leader="$leader" -v label="$1" -v entries="$2" \
        -v servers="$3" -v promotions="$4" -v tick="$ticks_per_second" -v seconds="$sample_seconds" '
        {
            role = $1 == leader ? "leader" : $1 ~ /^control/ ? "follower" : "entry"
            count[role]++; cpu[role] += ($8 - $2) * 1000 / tick / seconds; memory[role] += $9 / 1024
            sent[role] += ($10 - $4) / seconds; received[role] += ($11 - $5) / seconds
            calls[role] += ($12 - $6) / seconds
        }
        END {
            for (role in count) printf "%s entries=%d servers=%d role=%s cpu_ms_per_s=%.1f memory_mb=%.1f " \
                "sent_bytes_per_s=%.0f received_bytes_per_s=%.0f calls_per_s=%.1f promotions=%d\n", label, entries, servers, role,
                cpu[role] / count[role], memory[role] / count[role], sent[role] / count[role],
                received[role] / count[role], calls[role] / count[role], promotions
        }' | sort
}

# Runs one deployment and samples it: LABEL ENTRIES SERVERS [LOAD_FUNCTION ARGUMENT]
run() {
    local label=$1 entries=$2 servers=$3 load=${4:-} argument=${5:-} number hash
    declare -gA http_of=()
    measured=()
    write_document "$servers" > "$folder/document.toml"
    start_stand_in "$folder/document.toml" 7
    start_control
    for number in 0 1 2; do
        http_of[control-$number]=$ip:$((20100 + number))
        measured+=("control-$number")
    done
    for ((number = 0; number < entries; number++)); do
        http_of[entry-$number]=$ip:$((20300 + number))
        measured+=("entry-$number")
        start_entry "$number"
    done
    hash=$("$bin/daisyroute" submit --timeout-ms=30000 "$folder/document.toml")
    "$bin/daisyroute" promote --base-revision=0 "$hash" > /dev/null 2>&1
    sleep "$settle_seconds"
    if [ -n "$load" ]; then
        start load "$load" "$argument"
        sleep 3
    fi
    local revision_before
    revision_before=$(revision)
    snapshot > "$folder/before"
    sleep "$sample_seconds"
    snapshot > "$folder/after"
    report "$label" "$entries" "$servers" $(($(revision) - revision_before))
    kill_now "${!process_ids[@]}"
}

send_queries() {
    exec "$bin/load-generator" --entries="$DAISYROUTE_ENTRY_ADDRESSES" --document="$folder/document.toml" \
        --mix=wide/bulk/all=1 --rate="$1" --queries=$(($1 * (sample_seconds + 8))) --seed=7 --run-id=slopes
}

send_claims() {
    exec "$bin/load-generator" --entries="$DAISYROUTE_ENTRY_ADDRESSES" --document="$folder/document.toml" \
        --mix=wide/bulk/all/once=1 --rate="$1" --queries=$(($1 * (sample_seconds + 8))) --seed=7 --run-id=slopes
}

# Promotes documents that differ in a comment, with a pause between them: PAUSE_SECONDS
send_promotions() {
    local revision=1 hash
    while true; do
        { cat "$folder/document.toml"; echo "# change $revision"; } > "$folder/changed.toml"
        hash=$("$bin/daisyroute" submit "$folder/changed.toml") || continue
        "$bin/daisyroute" promote --base-revision="$revision" "$hash" > /dev/null 2>&1 && revision=$((revision + 1))
        echo "revision $revision"
        sleep "$1"
    done
}

if [ "$#" -eq 0 ]; then
    set -- entries servers queries promotions claims
fi
prepare_deployment

for driver in "$@"; do
    case $driver in
    entries) for count in 3 6 12 24; do run entries "$count" 120; done ;;
    servers) for count in 60 240 480; do run servers 6 "$count"; done ;;
    queries) for rate in 10 20 40; do run "queries_per_s=$rate" 6 100 send_queries "$rate"; done ;;
    promotions) for pause in 4 2 1; do run "promotion_pause_s=$pause" 6 120 send_promotions "$pause"; done ;;
    claims) for rate in 10 40 80; do run "claims_per_s=$rate" 6 20 send_claims "$rate"; done ;;
    *)
        echo "slopes: unknown driver $driver; accepted: entries, servers, queries, promotions, claims" >&2
        exit 2
        ;;
    esac
done
