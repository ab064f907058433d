# Functions shared by the measuring scripts; source it from bash. Builds the binary.
# When the sourcing script exits, the processes that it started are killed by id.

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

# start NAME ARGUMENTS...: starts the binary in the background and sets STARTED to
# its process id. Its output goes to $WORK/NAME.out and $WORK/NAME.err.
start() {
    local name=$1
    shift
    "$BINARY" "$@" >"$WORK/$name.out" 2>"$WORK/$name.err" &
    STARTED=$!
    PIDS+=("$STARTED")
}

# start_role NAME SECTIONS: starts a process with the roles that the given JSON
# sections of a settings file configure.
start_role() {
    printf '{"name":"%s","data_center":"beauce","rack":"r1","region":"quebec",%s}\n' \
        "$1" "$2" >"$WORK/$1.json"
    start "$1" run --settings "$WORK/$1.json"
}

# address NAME LISTENER: prints the address of a listener, such as entry-http, of the
# process NAME; waits up to 10 s for the process to report it.
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

# start_control: starts one control instance and initializes a cluster with it; sets
# CONTROL to its process id and PEER to its peer address.
start_control() {
    start_role control "\"controller\":{\"http\":\"127.0.0.1:0\",\"peer\":\"127.0.0.1:0\",\"data\":\"$WORK/data\"}"
    CONTROL=$STARTED
    PEER=$(address control control-peer)
    "$BINARY" members init --control "http://$(address control control-http)" "$PEER" >/dev/null
}

# start_agent NAME, start_entry NAME: start an agent or an entry; set STARTED to its
# process id.
start_agent() {
    start_role "$1" "\"control\":[\"$PEER\"],\"agent\":{\"http\":\"127.0.0.1:0\",\"peer\":\"127.0.0.1:0\"}"
}
start_entry() {
    start_role "$1" "\"control\":[\"$PEER\"],\"entry\":{\"http\":\"127.0.0.1:0\"}"
}

# wait_for_agents COUNT URL...: waits until the entry at each URL reports COUNT agents,
# up to 60 s per entry.
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

# ticks PID: prints the CPU time of a process, user and system, in clock ticks.
ticks() { awk '{ sub(/.*\) /, ""); print $12 + $13 }' "/proc/$1/stat"; }

# resident PID: prints the resident memory of a process in KB.
resident() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }
