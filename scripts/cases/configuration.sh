# shellcheck shell=bash
# Changes of the configuration while the table service and entries fail.
#
# Six entries. In turn: lost acknowledgements, stale reads, an outage of the table
# service in which one entry is killed and started anew, and an entry that is
# frozen for longer than it may serve without confirmation.

run_case() {
    start_platform
    start_entries 6 permits
    post_instances
    write_documents
    apply "$WORK/template.json" "$WORK/workspace.json"
    faults &
    local faults=$!
    "$BIN/woodgap-load" changes "${ENTRIES[@]/#/--entry=}" --changes "${CHANGES:-100}" \
        --operator-key-file "$WORK/operator.key" \
        --workspace-key bench-workspace --workspace "$WORK/workspace.json"
    local code=$?
    wait "$faults"
    return "$code"
}

write_documents() {
    cat >"$WORK/template.json" <<'DOCUMENT'
{ "kind": "template", "name": "bench", "tier": "$tier",
  "parameters": { "tier": { "type": "integer", "min": 1, "max": 7 } },
  "classes": { "caption": { "targets": ["story-7b"], "target_ms": 60000 } } }
DOCUMENT
    cat >"$WORK/workspace.json" <<DOCUMENT
{ "kind": "workspace", "name": "bench", "template": "bench",
  "values": { "tier": 3 }, "keys": ["$(digest bench-workspace)"] }
DOCUMENT
}

faults() {
    sleep 1
    platform_fault '{"lose_acks": 3}'
    sleep 2
    platform_fault '{"stale_reads_ms": 1500}'
    sleep 3
    platform_fault '{"stale_reads_ms": 0}'
    kill -STOP "${PID_OF[dub-a-3]}"
    sleep 2
    platform_fault '{"table_down": true}'
    kill -KILL "${PID_OF[dub-a-2]}"
    sleep 1
    restart_entry dub-a-2
    sleep 4
    platform_fault '{"table_down": false}'
    sleep 6
    kill -CONT "${PID_OF[dub-a-3]}"
}
