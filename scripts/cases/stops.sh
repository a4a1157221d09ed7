# shellcheck shell=bash
# Every entry is stopped and started anew in turn, and endpoints leave, under
# traffic of all kinds, while the platform's list lags 30 s.
source "$ROOT/scripts/mixed.sh"

# How late the platform's list shows a change, in ms.
LIST_LAG=30000

run_case() {
    local name
    start_mixed
    say "waiting until the list is older than its lag"
    sleep $((LIST_LAG / 1000 + 1))
    platform_fault "{\"list_lag_ms\": $LIST_LAG}"
    : >"$WORK/acts"
    begin_load 80 --acts "$WORK/acts"
    sleep 3
    drain 0
    for name in dub-a-1 dub-b-1; do
        restart "$name"
    done
    leave 1
    drain "$ENGINES_EACH"
    for name in dub-c-1 dub-a-2; do
        restart "$name"
    done
    leave $((ENGINES_EACH + 1))
    drain $((2 * ENGINES_EACH))
    for name in dub-b-2 dub-c-2; do
        restart "$name"
    done
    leave $((2 * ENGINES_EACH + 1))
    finish_load
}

# restart ENTRY: by the signal that asks it to stop.
restart() {
    local code=0
    say "stopping $1"
    kill -TERM "${PID_OF[$1]}"
    wait "${PID_OF[$1]}" || code=$?
    restart_entry "$1"
    printf '{"restart":{"name":"%s","exit":%d}}\n' "$1" "$code" >>"$WORK/acts"
    sleep 3
}

# drain INDEX: an operator tells an entry that an endpoint leaves.
drain() {
    local url=${ENDPOINTS[$1]}
    left "$url"
    "$BIN/woodgap-ctl" drain --key-file "$WORK/operator.key" "${ENTRIES[@]/#/--entry=}" \
        "engine-${url##*:}" >&2 || fail "the drain of $url was not accepted"
}

# leave INDEX: an endpoint itself says that it leaves, and the list follows late.
leave() {
    local url=${ENDPOINTS[$1]}
    left "$url"
    http POST "$url/fake/faults" '{"leaving": true}' >/dev/null || fail "$url refused its fault"
    post_instances
}

left() {
    say "$1 leaves"
    printf '{"leave":{"url":"%s","at_ms":%d}}\n' "$1" "$(date +%s%3N)" >>"$WORK/acts"
}
