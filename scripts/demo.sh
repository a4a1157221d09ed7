#!/usr/bin/env bash
# Builds, starts a small fleet on loopback, sends 200 requests and reports.
#
# The last line is JSON; the exit code is 0 only if all requests were complete.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"

REQUESTS=200
SAMPLES=$ROOT/samples/dublin

# How long to wait until the entries have recorded all counts, in seconds.
RECORD_TIMEOUT=15

# The table, once it holds all requests: entries record their counts now and then.
burn_table() {
    local deadline=$((SECONDS + RECORD_TIMEOUT)) report
    while true; do
        report=$("$BIN/woodgap-burn" --platform "$PLATFORM" --format json | tr -d ' \n')
        [[ $report == *"\"total\":{\"ended\":$REQUESTS,"* ]] && break
        if ((SECONDS >= deadline)); then
            say "the entries have not recorded all requests after $RECORD_TIMEOUT s"
            break
        fi
        sleep 0.2
    done
    "$BIN/woodgap-burn" --platform "$PLATFORM"
}

build
begin

say "starting a platform, three engines, a service and three entries"
start_platform
start_engines engine 3 --models story-7b,story-13b --slots 16 --tokens-per-second 200 --data-centre dub-a
start_service album-app --data-centre dub-a
start_entries 3 permits
post_instances

say "submitting a template and two workspaces"
apply "$SAMPLES/templates/family.json" \
    "$SAMPLES/workspaces/murphy.json" "$SAMPLES/workspaces/gallagher.json"

say "sending $REQUESTS requests through all entries"
code=0
load --no-discovery --traffic "$ROOT/scripts/demo.jsonc" --count "$REQUESTS" --seed 1 \
    "${ENDPOINTS[@]/#/--record=}" --case demo --expect-complete >"$WORK/load.out" || code=$?
head -n -1 "$WORK/load.out"

echo
burn_table
echo
tail -n 1 "$WORK/load.out"
exit "$code"
