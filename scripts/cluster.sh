# Functions that start and stop a system on the loopback interface. Source this file.
#
#   CLUSTER_BUILD  build folder         CLUSTER_DIR  folder for settings, logs and histories
#   CLUSTER_BASE   first port number

CLUSTER_BUILD="${CLUSTER_BUILD:-build}"
CLUSTER_BASE="${CLUSTER_BASE:-21000}"
CLUSTER_TOKEN="sample-token-of-all-departments"
declare -A CLUSTER_PIDS

platform_port() { echo "$CLUSTER_BASE"; }
caller_port() { echo $((CLUSTER_BASE + 100 + $1)); }
operator_port() { echo $((CLUSTER_BASE + 200 + $1)); }
peer_port() { echo $((CLUSTER_BASE + 300 + $1)); }
target_port() { echo $((CLUSTER_BASE + 400 + $1)); }

data_centre() {
    local names=(${CLUSTER_DATA_CENTRES:-palermo catania trapani})
    echo "${names[$(($1 % ${#names[@]}))]}"
}

put_listing() {
    curl -sf -X PUT "http://127.0.0.1:$(platform_port)/listings/$1" -d "$2" >/dev/null
}

set_faults() {
    curl -sf "http://127.0.0.1:$(platform_port)/faults" -d "$1" >/dev/null
}

start_platform() {
    "$CLUSTER_BUILD/src/standins/platform/clementinebeam-platform-standin" \
        --port="$(platform_port)" "$@" >"$CLUSTER_DIR/platform.log" 2>&1 &
    CLUSTER_PIDS[platform]=$!
    until set_faults '{}'; do sleep 0.05; done
}

# start_target NUMBER SERVICE [flags...]
start_target() {
    local number=$1 service=$2
    shift 2
    "$CLUSTER_BUILD/src/standins/target/clementinebeam-target-standin" \
        --id="$service-$number" --port="$(target_port "$number")" \
        --history="$CLUSTER_DIR/history-$service-$number.jsonl" "$@" \
        >>"$CLUSTER_DIR/target-$number.log" 2>&1 &
    CLUSTER_PIDS[target$number]=$!
    put_listing "$service-$number" "{\"role\":\"target\",\"state\":\"live\",\"service\":\"$service\",
        \"data_centre\":\"$(data_centre "$number")\",\"address\":\"127.0.0.1\",
        \"port\":$(target_port "$number")}"
}

write_settings() {
    local number=$1
    cat >"$CLUSTER_DIR/instance-$number.json" <<EOF
// Settings of one instance.
{
  "instance": "i$number",
  "data_centre": "$(data_centre "$number")",
  "data_centres": [$(printf '"%s",' ${CLUSTER_DATA_CENTRES:-palermo catania trapani} | sed 's/,$//')],
  "caller_listener": { "address": "127.0.0.1", "port": $(caller_port "$number") },
  "operator_listener": { "address": "127.0.0.1", "port": $(operator_port "$number") },
  "peer_listener": { "address": "127.0.0.1", "port": $(peer_port "$number") },
  "platform": { "address": "127.0.0.1", "port": $(platform_port) },
  "peer_key": "sample-key-shared-by-all-instances",
  "departments": [ { "name": "all", "token": "$CLUSTER_TOKEN", "services": ["*"] } ]${CLUSTER_EXTRA:-}
}
EOF
}

start_instance() {
    local number=$1
    write_settings "$number"
    "$CLUSTER_BUILD/src/daemon/clementinebeamd" --settings="$CLUSTER_DIR/instance-$number.json" \
        >>"$CLUSTER_DIR/instance-$number.log" 2>&1 &
    CLUSTER_PIDS[instance$number]=$!
    put_listing "i$number" "{\"role\":\"instance\",\"state\":\"live\",
        \"data_centre\":\"$(data_centre "$number")\",\"address\":\"127.0.0.1\",
        \"port\":$(caller_port "$number"),\"peer_port\":$(peer_port "$number")}"
}

wait_ready() {
    local tries=0
    until curl -sf "http://127.0.0.1:$(operator_port "$1")/ready" >/dev/null; do
        tries=$((tries + 1))
        [ "$tries" -lt 200 ] || return 1
        sleep 0.05
    done
}

# cli NUMBER ARGUMENTS...: runs the command-line tool against one instance
cli() {
    local number=$1
    shift
    "$CLUSTER_BUILD/src/cli/clementinebeam" --instance="127.0.0.1:$(operator_port "$number")" \
        --token="$CLUSTER_TOKEN" "$@"
}

stop_process() {
    local pid="${CLUSTER_PIDS[$1]:-}"
    [ -n "$pid" ] || return 0
    kill -"${2:-TERM}" "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null || true
    unset "CLUSTER_PIDS[$1]"
}

stop_cluster() {
    local name
    for name in "${!CLUSTER_PIDS[@]}"; do
        kill -CONT "${CLUSTER_PIDS[$name]}" 2>/dev/null
        kill -TERM "${CLUSTER_PIDS[$name]}" 2>/dev/null
    done
    for name in "${!CLUSTER_PIDS[@]}"; do
        wait "${CLUSTER_PIDS[$name]}" 2>/dev/null || true
        unset "CLUSTER_PIDS[$name]"
    done
}
