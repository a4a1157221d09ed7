# shellcheck shell=bash
# Kills, freezes and outages of the platform under traffic of all kinds.
source "$ROOT/scripts/mixed.sh"

run_case() {
    start_mixed
    begin_load 75
    sleep 4
    one_at_a_time
    together
    finish_load
}

one_at_a_time() {
    say "an entry is killed"
    kill_now dub-a-1
    sleep 2
    restart_entry dub-a-1
    sleep 2
    say "an entry is frozen"
    freeze 5 dub-b-1
    sleep 1
    say "an engine is killed"
    kill_now engine-dub-a-1
    sleep 2
    again engine-dub-a-1
    say "an engine is frozen"
    freeze 8 engine-dub-b-1
    say "acknowledgements are lost, and the platform is slow"
    platform_fault '{"lose_acks": 5, "delay_ms": 300}'
    sleep 3
    platform_fault '{"lose_acks": 0, "delay_ms": 0}'
}

together() {
    say "the table service is out, an entry and an engine are killed, another engine is frozen"
    platform_fault '{"table_down": true}'
    kill -STOP "${PID_OF[engine-dub-c-1]}"
    sleep 1
    kill_now dub-c-1
    kill_now engine-dub-b-2
    sleep 2
    restart_entry dub-c-1
    again engine-dub-b-2
    sleep 5
    kill -CONT "${PID_OF[engine-dub-c-1]}"
    sleep 2
    platform_fault '{"table_down": false, "lose_acks": 3}'
    sleep 2
    say "the same entry again with another, and two engines; an entry is frozen"
    kill -STOP "${PID_OF[dub-b-2]}"
    kill_now dub-a-1
    kill_now dub-c-2
    kill_now engine-dub-a-1
    kill_now engine-dub-c-2
    sleep 2
    restart_entry dub-a-1
    restart_entry dub-c-2
    again engine-dub-a-1
    again engine-dub-c-2
    sleep 3
    kill -CONT "${PID_OF[dub-b-2]}"
    say "the table service is out again, and an entry is frozen through it"
    platform_fault '{"table_down": true}'
    freeze 8 dub-a-2
    sleep 2
    platform_fault '{"table_down": false}'
}

# freeze SECONDS NAME
freeze() {
    kill -STOP "${PID_OF[$2]}"
    sleep "$1"
    kill -CONT "${PID_OF[$2]}"
}

# again ENGINE: a killed engine, in its own data centre.
again() {
    local data_centre=${1#engine-}
    restart_engine "$1" "${ENGINE[@]}" --data-centre "${data_centre%-*}"
}
