# shellcheck shell=bash
# One class at ten times its rate, under our policy and the baseline.
source "$ROOT/scripts/measure.sh"

run_case() {
    local policy
    policies "$@"
    workspace line-1 2
    workspace line-2 2
    workspace office 2
    for policy in "${POLICIES[@]}"; do
        start_platform
        start_engines engine "$ENGINE_COUNT" "${ENGINE[@]}" --report-lag-ms "$REPORT_LAG"
        start_fleet "$policy"
        measure "$policy-calm" 15 --no-bursts
        measure "$policy" 25
        stop_all
    done
    compare
}
