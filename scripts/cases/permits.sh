# shellcheck shell=bash
# What permits cost: bytes between entries, and the wait for them.
source "$ROOT/scripts/measure.sh"

# Fewer engines than the other cases have, for the same load at a lower rate.
FEW=20
# Each request's wait for its permit is read from the entries' logs.
LOG_LEVEL=info

run_case() {
    start_platform
    start_engines engine "$FEW" "${ENGINE[@]}" --report-lag-ms "$REPORT_LAG"
    workspace bench 2
    start_fleet "$OURS"
    local logs=("$WORK"/dub-a-*.log)
    say "measuring, seed $SEED"
    "$BIN/woodgap-load" permits "${ENTRIES[@]/#/--entry=}" --operator-key-file "$WORK/operator.key" \
        --lent "$ROOT/scripts/cases/permits-lent.jsonc" \
        --contended "$ROOT/scripts/cases/permits-contended.jsonc" \
        --seed "$SEED" --duration-ms 25000 "${logs[@]/#/--log=}"
}
