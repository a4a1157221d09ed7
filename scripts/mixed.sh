# shellcheck shell=bash
# What the cases that disturb a fleet have in common: entries in three data
# centres, and traffic of all kinds.
#
# Sourced by them, after scripts/fleet.sh. SEED sets the seed of the arrivals.

SEED=${SEED:-1}
DATA_CENTRES=(dub-a dub-b dub-c)
ENGINES_EACH=7
ENGINE=(--models story-7b --slots 4 --tokens-per-second 50 --first-token-ms 20 --jitter-percent 10)
# An engine that is killed leaves its record to the one started in its place.
KEEP_RECORDS=yes
# Ends and refusals are logged by request, to look into what went wrong.
LOG_LEVEL=info

# Everything: 6 entries, 21 engines, 2 plain services, 3 workspaces.
start_mixed() {
    local data_centre
    start_platform
    for data_centre in "${DATA_CENTRES[@]}"; do
        start_engines "engine-$data_centre" "$ENGINES_EACH" "${ENGINE[@]}" --data-centre "$data_centre"
    done
    start_service ledger --slots 32 --latency-ms 40 --data-centre dub-a
    start_service album --slots 32 --latency-ms 40 --data-centre dub-b
    for data_centre in "${DATA_CENTRES[@]}"; do
        start_entries 2 permits "$data_centre"
    done
    post_instances
    workspace gold 1
    workspace silver 2
    workspace bronze 3
    apply "$ROOT/scripts/cases/mixed.json" "$WORK"/workspace-*.json
}

# workspace NAME TIER: a workspace of the template, with the key bench-NAME.
workspace() {
    printf '{"kind":"workspace","name":"%s","template":"mixed","values":{"tier":%d},"keys":["%s"]}\n' \
        "$1" "$2" "$(digest "bench-$1")" >"$WORK/workspace-$1.json"
}

# begin_load SECONDS ARGUMENT...: sends in the background.
begin_load() {
    local seconds=$1
    shift
    say "sending for $seconds s, seed $SEED"
    load --traffic "$ROOT/scripts/cases/mixed.jsonc" --duration-ms $((seconds * 1000)) \
        --seed "$SEED" --retries 25 --patience-ms 30000 --events "$WORK/events" \
        "${ENDPOINTS[@]/#/--record=}" --case "$CASE" "$@" >"$WORK/load.out" &
    PID_OF[load]=$!
}

# Waits for the end of the sending, and prints the report and the JSON line.
finish_load() {
    local code=0
    wait "${PID_OF[load]}" || code=$?
    unset 'PID_OF[load]'
    head -n -1 "$WORK/load.out" >&2
    tail -n 1 "$WORK/load.out"
    return "$code"
}
