# What the measuring scripts share. To be sourced; needs bash.
# Processes that a script starts are stopped by their ids when it ends.

cargo build --release --locked -q -p gentiancove
BINARY=${CARGO_TARGET_DIR:-target}/release/gentiancove
WORK=$(mktemp -d)
PIDS=()
TICKS=$(getconf CLK_TCK)

stop_all() {
    local pid
    for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
    PIDS=()
    rm -rf "${WORK:?}"/*
}
trap 'stop_all; rm -rf "$WORK"' EXIT

# start NAME ARGUMENTS...: runs the binary and sets STARTED to its process id.
start() {
    local name=$1
    shift
    "$BINARY" "$@" >"$WORK/$name.out" 2>"$WORK/$name.err" &
    STARTED=$!
    PIDS+=("$STARTED")
}

# start_role NAME SECTIONS: runs the roles of the given sections of settings.
start_role() {
    printf '{"name":"%s","data_center":"beauce","rack":"r1","region":"quebec",%s}\n' \
        "$1" "$2" >"$WORK/$1.json"
    start "$1" run --settings "$WORK/$1.json"
}

# address NAME WHAT: waits for the line that names an address and prints it.
address() {
    local found
    for _ in $(seq 200); do
        found=$(awk -v what="$2" '$1 == "listening" && $2 == what { print $3 }' "$WORK/$1.out")
        [ -n "$found" ] && { echo "$found"; return; }
        sleep 0.05
    done
    echo "$1 does not listen: $(cat "$WORK/$1.err")" >&2
    return 1
}

# start_control: runs one control instance; sets CONTROL to its process id and
# PEER to its address.
start_control() {
    start_role control "\"controller\":{\"http\":\"127.0.0.1:0\",\"peer\":\"127.0.0.1:0\",\"data\":\"$WORK/data\"}"
    CONTROL=$STARTED
    PEER=$(address control control-peer)
    "$BINARY" members init --control "http://$(address control control-http)" "$PEER" >/dev/null
}

# start_agent NAME, start_entry NAME: run one; STARTED is its process id.
start_agent() {
    start_role "$1" "\"control\":[\"$PEER\"],\"agent\":{\"http\":\"127.0.0.1:0\",\"peer\":\"127.0.0.1:0\"}"
}
start_entry() {
    start_role "$1" "\"control\":[\"$PEER\"],\"entry\":{\"http\":\"127.0.0.1:0\"}"
}

# wait_for_agents COUNT URL...: waits until every entry knows that many agents.
wait_for_agents() {
    local count=$1 url known
    shift
    for url in "$@"; do
        for _ in $(seq 600); do
            known=$("$BINARY" status "$url" | awk -F'[ ,]+' '/"members"/ { print $3 }')
            [ "${known:-0}" = "$count" ] && break
            sleep 0.1
        done
        [ "${known:-0}" = "$count" ] || { echo "$url knows ${known:-no} agents" >&2; return 1; }
    done
}

# Processor ticks that a process has used.
ticks() { awk '{ sub(/.*\) /, ""); print $12 + $13 }' "/proc/$1/stat"; }

# Resident memory of a process in KB.
resident() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }
