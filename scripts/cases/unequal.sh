# shellcheck shell=bash
# One engine in five at a tenth of its speed, half of the load reports stale,
# under our policy and the baseline.
source "$ROOT/scripts/measure.sh"

# Age of the stale reports, in ms: what they show has long ended.
STALE_LAG=15000

run_case() {
    local policy url
    policies "$@"
    workspace gold 1
    workspace silver 2
    workspace bronze 3
    for policy in "${POLICIES[@]}"; do
        start_platform
        start_engines slow $((ENGINE_COUNT / 5)) "${ENGINE[@]}" --report-lag-ms "$REPORT_LAG"
        for url in "${ENDPOINTS[@]}"; do
            http POST "$url/fake/faults" '{"slow": 10}' >/dev/null || fail "$url refused its fault"
        done
        start_engines stale $((ENGINE_COUNT / 2)) "${ENGINE[@]}" --report-lag-ms "$STALE_LAG"
        start_engines engine $((ENGINE_COUNT * 3 / 10)) "${ENGINE[@]}" --report-lag-ms "$REPORT_LAG"
        start_fleet "$policy"
        measure "$policy" 30
        stop_all
    done
    compare
}
