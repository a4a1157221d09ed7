# shellcheck shell=bash
# What the control side of an entry costs, and what follows for the target.
#
# Six entries before 50 engines under moderate load (RATE requests a second in all,
# 0 for none), read twice, SPAN seconds apart. All engines are of one pool, whose home
# probes them twice a second each.
SEED=${SEED:-1}
RATE=${RATE:-60}
SPAN=${SPAN:-30}
# Before the first reading, in seconds: until as many runs end as begin.
WARM=8

run_case() {
    local sender=
    start_platform
    start_engines engine 50 --models story-7b --slots 8 --tokens-per-second 25 \
        --first-token-ms 40 --jitter-percent 10 --data-centre dub-a --report-lag-ms 2000
    start_service ledger --slots 32 --latency-ms 20 --data-centre dub-a
    start_entries 6 permits
    post_instances
    printf '{"kind":"workspace","name":"gold","template":"measured","values":{"tier":1},"keys":["%s"]}\n' \
        "$(digest bench-gold)" >"$WORK/workspace-gold.json"
    apply "$ROOT/scripts/cases/measured.json" "$WORK/workspace-gold.json"
    if ((RATE > 0)); then
        traffic >"$WORK/traffic.jsonc"
        load --no-discovery --traffic "$WORK/traffic.jsonc" --seed "$SEED" --expect-complete \
            --duration-ms $(((WARM + SPAN + 4) * 1000)) --format json >"$WORK/load.json" &
        sender=$!
    fi
    sleep "$WARM"
    "$BIN/woodgap-load" control "${ENTRIES[@]/#/--entry=}" --operator-key-file "$WORK/operator.key" \
        --span-ms $((SPAN * 1000)) --rate "$RATE" --probes 100 --workspaces 1 >"$WORK/control.json"
    if [[ -n $sender ]]; then
        wait "$sender" || fail "not all requests were complete: see $WORK/load.json"
    fi
    cat "$WORK/control.json"
}

traffic() {
    cat <<TRAFFIC
{ "classes": [ {
  "name": "gold-captions", "workspace": "gold", "key": "bench-gold", "tier": 1,
  "class": "caption", "target": "story-7b", "stream": true, "rate_per_s": $RATE,
  "target_ms": 3000, "measure": "first_token", "tokens": { "fixed": 25 }
} ] }
TRAFFIC
}
