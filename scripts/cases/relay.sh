# shellcheck shell=bash
# What one entry adds to streams, against direct ones to the same engines.
source "$ROOT/scripts/measure.sh"

run_case() {
    start_platform
    # Slots for all streams, so that nobody waits and only the relay is measured.
    start_engines engine 8 --models story-7b --slots 256 --tokens-per-second 25 \
        --first-token-ms 40 --data-centre dub-a
    start_entries 1 permits
    post_instances
    workspace gold 1
    apply "$ROOT/scripts/cases/measured.json" "$WORK/workspace-gold.json"
    "$BIN/woodgap-load" overhead "${ENDPOINTS[@]/#/--direct=}" --entry "${ENTRIES[0]}" \
        --key bench-gold --class caption --model story-7b --pid "${PID_OF[dub-a-1]}"
}
