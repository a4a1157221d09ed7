# shellcheck shell=bash
# Starts and stops a fleet of woodgap's own programs on loopback.
#
# Sourced by the scripts beside it; needs bash and coreutils only. Everything
# that is started is kept by process id, and ended by it when the script exits.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BIN=${CARGO_TARGET_DIR:-$ROOT/target}/release

# How long a program may take to say that it is ready, in seconds.
READY_TIMEOUT=30
# How long a program may take to stop before it is killed, in seconds.
STOP_TIMEOUT=10

WORK=
declare -A PID_OF=()
PLATFORM=
ENDPOINTS=()
ENTRIES=()
ENTRY_INSTANCES=()

# Says something to the person at the terminal; standard output is for results.
say() {
    printf '%s\n' "$*" >&2
}

fail() {
    say "$0: $*"
    exit 1
}

# Builds the programs, quietly unless it fails.
build() {
    say "building"
    (cd "$ROOT" && cargo build --release --locked --quiet \
        -p woodgap-entry -p woodgap-ctl -p woodgap-fake -p woodgap-burn -p woodgap-load) ||
        fail "the build failed"
}

# Makes the folder for settings and logs, and has everything stopped at the end.
begin() {
    WORK=$(mktemp -d)
    trap end EXIT
    trap 'exit 130' INT
    trap 'exit 143' TERM
}

end() {
    local code=$?
    trap - EXIT INT TERM
    stop_all
    if [[ -z ${KEEP_LOGS:-} && ($code -eq 0 || -n ${DISCARD_LOGS:-}) ]]; then
        rm -rf "$WORK"
    else
        say "logs are kept in $WORK"
    fi
    exit "$code"
}

# launch NAME PROGRAM ARGUMENT...
launch() {
    local name=$1
    shift
    : >"$WORK/$name.out"
    "$BIN/$1" "${@:2}" >"$WORK/$name.out" 2>"$WORK/$name.log" &
    PID_OF[$name]=$!
    # A part of a script that runs beside it may start programs too.
    echo "$!" >"$WORK/$name.pid"
}

# Waits for a program's first line, and sets READY_LINE to it.
await_ready() {
    local name=$1
    local deadline=$((SECONDS + READY_TIMEOUT))
    until read -r READY_LINE <"$WORK/$name.out" && [[ -n $READY_LINE ]]; do
        if ! kill -0 "${PID_OF[$name]}" 2>/dev/null; then
            cat "$WORK/$name.log" >&2
            fail "$name ended before it was ready"
        fi
        ((SECONDS < deadline)) || fail "$name is not ready after $READY_TIMEOUT s"
        sleep 0.02
    done
}

# field NAME: the text of a field of READY_LINE.
field() {
    [[ $READY_LINE =~ \"$1\":\ *\"([^\"]*)\" ]] || fail "no $1 in $READY_LINE"
    printf %s "${BASH_REMATCH[1]}"
}

# http METHOD URL [BODY]: prints the answer's body; fails unless it is 2xx.
http() {
    local method=$1 url=${2#http://} body=${3:-} answer status
    local address=${url%%/*} path=/
    [[ $url == */* ]] && path=/${url#*/}
    exec 3<>"/dev/tcp/${address%:*}/${address##*:}" || return 1
    {
        printf '%s %s HTTP/1.0\r\nHost: %s\r\n' "$method" "$path" "$address"
        printf 'Content-Type: application/json\r\nContent-Length: %d\r\n\r\n' "$(length "$body")"
        printf %s "$body"
    } >&3
    answer=$(cat <&3)
    exec 3>&-
    read -r _ status _ <<<"$answer"
    printf %s "${answer#*$'\r\n\r\n'}"
    [[ $status == 2* ]]
}

length() {
    local LC_ALL=C
    printf %d "${#1}"
}

# start_platform ARGUMENT...: sets PLATFORM to its base URL.
start_platform() {
    launch platform woodgap-fake platform --listen 127.0.0.1:0 "$@"
    await_ready platform
    PLATFORM=http://$(field ready)
}

# start_engines PREFIX COUNT ARGUMENT...: adds their base URLs to ENDPOINTS.
start_engines() {
    local prefix=$1 count=$2 number
    shift 2
    for ((number = 1; number <= count; number++)); do
        launch "$prefix-$number" woodgap-fake engine --listen 127.0.0.1:0 --seed "$number" \
            ${KEEP_RECORDS:+--record-file "$WORK/$prefix-$number.record"} "$@"
    done
    for ((number = 1; number <= count; number++)); do
        await_ready "$prefix-$number"
        ENDPOINTS+=("http://$(field ready)")
    done
}

# start_service NAME ARGUMENT...: adds its base URL to ENDPOINTS.
start_service() {
    local name=$1
    shift
    launch "service-$name" woodgap-fake service --listen 127.0.0.1:0 --name "$name" "$@"
    await_ready "service-$name"
    ENDPOINTS+=("http://$(field ready)")
}

# The operator of the fleet; the key is made anew for each one.
operator_key() {
    [[ -f $WORK/operator.key ]] || random_hex >"$WORK/operator.key"
    cat "$WORK/operator.key"
}

# The key between entries; all data centres of a fleet have the same.
fleet_key() {
    [[ -f $WORK/fleet.key ]] || random_hex >"$WORK/fleet.key"
    cat "$WORK/fleet.key"
}

random_hex() {
    od -An -tx1 -v -N32 /dev/urandom | tr -d ' \n'
}

digest() {
    printf %s "$1" | sha256sum | cut -d ' ' -f 1
}

# start_entries COUNT POLICY [DATA_CENTRE]: adds their base URLs to ENTRIES.
start_entries() {
    local count=$1 policy=$2 data_centre=${3:-dub-a} number name fleet_key
    fleet_key=$(fleet_key)
    operator_key >/dev/null
    for ((number = 1; number <= count; number++)); do
        name=$data_centre-$number
        settings "$name" "$data_centre" "$policy" "$fleet_key" >"$WORK/$name.jsonc"
        launch "$name" woodgap-entry --settings "$WORK/$name.jsonc"
    done
    for ((number = 1; number <= count; number++)); do
        name=$data_centre-$number
        await_ready "$name"
        ENTRIES+=("http://$(field ready)")
        ENTRY_INSTANCES+=("$(printf '{"name":"%s","role":"entry","address":"%s","peer_address":"%s",' \
            "$name" "$(field ready)" "$(field peer)")$(printf '"data_centre":"%s","state":"live"}' "$data_centre")")
    done
}

# restart_entry NAME: starts one that has ended anew, at its old addresses.
restart_entry() {
    await_first_line "$1"
    sed -e "s/\"listen\": \"[^\"]*\"/\"listen\": \"$(field ready)\"/" \
        -e "s/\"peer_listen\": \"[^\"]*\"/\"peer_listen\": \"$(field peer)\"/" \
        -i "$WORK/$1.jsonc"
    relaunch "$1" woodgap-entry --settings "$WORK/$1.jsonc"
}

# restart_engine NAME ARGUMENT...: the same for an engine, with its record.
restart_engine() {
    await_first_line "$1"
    relaunch "$1" woodgap-fake engine --listen "$(field ready)" --seed "${1##*-}" \
        ${KEEP_RECORDS:+--record-file "$WORK/$1.record"} "${@:2}"
}

# What a program said when it was ready; it may have ended since.
await_first_line() {
    read -r READY_LINE <"$WORK/$1.out"
}

# relaunch NAME PROGRAM ARGUMENT...: keeps the log of the one that ended.
relaunch() {
    cat "$WORK/$1.log" >>"$WORK/$1.earlier.log"
    launch "$@"
    await_ready "$1"
}

# kill_now NAME: ends a program in the middle of whatever it does.
kill_now() {
    kill -KILL "${PID_OF[$1]}"
    wait "${PID_OF[$1]}" 2>/dev/null || true
}

# platform_fault JSON
platform_fault() {
    http POST "$PLATFORM/fake/faults" "$1" >/dev/null || fail "the platform refused $1"
}

# settings NAME DATA_CENTRE POLICY FLEET_KEY: prints an entry's settings.
settings() {
    cat <<SETTINGS
{
  "name": "$1",
  "data_centre": "$2",
  "listen": "127.0.0.1:0",
  "peer_listen": "127.0.0.1:0",
  "platform": { "url": "$PLATFORM", "timeout_ms": 1000, "poll_ms": ${POLL_MS:-500} },
  "fleet_key": "$4",
  "operators": [ { "name": "script", "key_sha256": "$(digest "$(operator_key)")" } ],
  "dispatch": { "policy": "$3" ${DISPATCH:-} },
  "log_level": "${LOG_LEVEL:-warn}",
  "workers": ${WORKERS:-2}
}
SETTINGS
}

# Tells the platform which instances there are.
post_instances() {
    local list=() url instance body
    for url in "${ENDPOINTS[@]}"; do
        instance=$(http GET "$url/fake/instance") || fail "$url does not say what it is"
        list+=("$instance")
    done
    list+=("${ENTRY_INSTANCES[@]}")
    body=$(
        IFS=,
        printf '[%s]' "${list[*]}"
    )
    http POST "$PLATFORM/fake/instances" "$body" >/dev/null ||
        fail "the platform refused the list of instances: $body"
}

# apply FILE...: submits documents, and waits until they are in force at all entries.
apply() {
    "$BIN/woodgap-ctl" apply --wait --key-file "$WORK/operator.key" \
        "${ENTRIES[@]/#/--entry=}" "$@" >&2 ||
        fail "the configuration was not accepted"
}

# load ARGUMENT...: woodgap-load through all entries.
load() {
    "$BIN/woodgap-load" "${ENTRIES[@]/#/--entry=}" "$@"
}

# Ends everything that was started here, and forgets it.
stop_all() {
    local pid file deadline=$((SECONDS + STOP_TIMEOUT))
    for file in "$WORK"/*.pid; do
        [[ -f $file ]] && PID_OF[$(basename "$file" .pid)]=$(<"$file")
    done
    for pid in "${PID_OF[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${PID_OF[@]}"; do
        while kill -0 "$pid" 2>/dev/null; do
            if ((SECONDS >= deadline)); then
                kill -KILL "$pid" 2>/dev/null || true
                break
            fi
            sleep 0.02
        done
        wait "$pid" 2>/dev/null || true
    done
    rm -f "$WORK"/*.pid
    PID_OF=()
    PLATFORM=
    ENDPOINTS=()
    ENTRIES=()
    ENTRY_INSTANCES=()
}
