# Functions for scripts that run a deployment of daisyroute on loopback; sourced, not run. The caller sets `environment`
# to that of its document and `data_centres` to three names.
# shellcheck shell=bash

bin=Build/bin
folder=$(mktemp -d)
# The whole 127.0.0.0/8 is loopback; an address from the process id keeps two deployments apart.
ip=127.$((64 + ($$ >> 16) % 64)).$((($$ >> 8) % 256)).$((128 + $$ % 127))
stand_in=$ip:20900
declare -A process_ids=()

# Builds the programs, makes a key, and tells the command line where the control processes are.
prepare_deployment() {
    cmake --preset release > /dev/null
    cmake --build --preset release --target daisyroute backend-stand-in load-generator > /dev/null
    (umask 077 && head -c 32 /dev/urandom | base64 > "$folder/key")
    export DAISYROUTE_KEY_FILE=$folder/key
    export DAISYROUTE_CONTROL_HTTP_ADDRESSES=$ip:20100,$ip:20101,$ip:20102
    export DAISYROUTE_ENTRY_ADDRESSES=$DAISYROUTE_CONTROL_HTTP_ADDRESSES
}

# Starts a program in the background with its output in a log file: NAME COMMAND…
start() {
    local name=$1
    shift
    "$@" > "$folder/$name.log" 2>&1 &
    process_ids[$name]=$!
}

# Kills the named processes and forgets them: NAME…
kill_now() {
    local name
    for name in "$@"; do
        kill -KILL "${process_ids[$name]}" 2> /dev/null || true
        wait "${process_ids[$name]}" 2> /dev/null || true
        unset "process_ids[$name]"
    done
}

# Starts the stand-in for the servers of a document: DOCUMENT SEED
start_stand_in() {
    start stand-in "$bin/backend-stand-in" --document="$1" --admin="$stand_in" --seed="$2"
}

# Starts three control processes with empty data directories.
start_control() {
    local number members=control-0=$ip:20200,control-1=$ip:20201,control-2=$ip:20202
    rm -rf "$folder"/control-?
    for number in 0 1 2; do
        start "control-$number" "$bin/daisyroute" control --node-id="control-$number" \
            --data-centre="${data_centres[$number]}" --environment="$environment" \
            --data-directory="$folder/control-$number" --http-address="$ip:$((20100 + number))" \
            --peer-address="$ip:$((20200 + number))" --members="$members"
    done
}

# Starts one entry process: NUMBER
start_entry() {
    start "entry-$1" "$bin/daisyroute" entry --entry-id="entry-$1" --data-centre="${data_centres[$(($1 % 3))]}" \
        --environment="$environment" --http-address="$ip:$((20300 + $1))" --peer-address="$ip:$((20400 + $1))" \
        --control-addresses="$ip:20200,$ip:20201,$ip:20202"
}
