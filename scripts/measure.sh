# shellcheck shell=bash
# What the cases that measure one policy against another have in common.
#
# Sourced by them, after scripts/fleet.sh. SEED sets the seed of the arrivals.

SEED=${SEED:-1}
OURS=permits
BASELINE=two_choices
POLICIES=("$OURS" "$BASELINE")

# The fleet: the traffic files beside the cases say what it can do.
ENTRY_COUNT=6
ENGINE_COUNT=50
ENGINE=(--models story-7b --slots 2 --tokens-per-second 25 --first-token-ms 40
    --jitter-percent 10 --data-centre dub-a)
# Age of the load reports, in ms.
REPORT_LAG=2000

# The fleet as a whole keeps 6 requests waiting per slot under both policies:
# the baseline has its bound at each of the 6 entries.
declare -A WAITING=([permits]=6 [two_choices]=1)

# policies [--baseline-only]: which policies are run.
policies() {
    case ${1:-} in
    "") ;;
    --baseline-only) POLICIES=("$BASELINE") ;;
    *) fail "what is $1? Only --baseline-only is known" ;;
    esac
}

# start_fleet POLICY: everything but the platform and the engines.
start_fleet() {
    local policy=$1
    DISPATCH=", \"waiting_per_slot\": ${WAITING[$policy]}"
    start_service ledger --slots 32 --latency-ms 20 --report-lag-ms "$REPORT_LAG" --data-centre dub-a
    start_entries "$ENTRY_COUNT" "$policy"
    post_instances
    apply "$ROOT/scripts/cases/measured.json" "$WORK"/workspace-*.json
}

# workspace NAME TIER: a workspace of the template, with the key bench-NAME.
workspace() {
    printf '{"kind":"workspace","name":"%s","template":"measured","values":{"tier":%d},"keys":["%s"]}\n' \
        "$1" "$2" "$(digest "bench-$1")" >"$WORK/workspace-$1.json"
}

# measure NAME SECONDS ARGUMENT...: runs the case's traffic and keeps the report.
measure() {
    local name=$1 seconds=$2
    shift 2
    say "sending for $seconds s, seed $SEED: $name"
    load --no-discovery --threads 3 --retries 3 --traffic "$ROOT/scripts/cases/$CASE.jsonc" \
        --duration-ms $((seconds * 1000)) --seed "$SEED" --events "$WORK/$name.events" \
        "${ENDPOINTS[@]/#/--record=}" --format json "$@" >"$WORK/$name.json"
}

# Prints the case's JSON line from the reports that were made.
compare() {
    local options
    mapfile -t options < <(reports "" && reports -calm)
    "$BIN/woodgap-load" case "${options[@]}" "$CASE"
}

# reports SUFFIX: the options that name the reports, as far as they were made.
reports() {
    [[ -f $WORK/$OURS$1.json ]] && printf -- '--ours%s\n%s\n' "$1" "$WORK/$OURS$1.json"
    [[ -f $WORK/$BASELINE$1.json ]] && printf -- '--baseline%s\n%s\n' "$1" "$WORK/$BASELINE$1.json"
    return 0
}
