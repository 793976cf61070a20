# Starts laburnumnode entries and agents around the stand-ins of platformsite, on loopback. To be sourced; everything that
# it starts ends with the shell.

bin=$PWD/build/bin
work=$(mktemp -d)
pids=()
callers=()

finish()
{
    local pid
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap finish EXIT

# start NAME PROGRAM ARGUMENT...
start()
{
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
    echo "$!" >"$work/$name.pid"
}

# value NAME KEY: a value of the process's first line.
value()
{
    head -1 "$work/$1.out" | tr ' ' '\n' | sed -n "s/^$2=//p"
}

# ask ADDRESS PATH: the body of an answer over plain HTTP.
ask()
{
    exec 3<>"/dev/tcp/${1%:*}/${1#*:}" || return 1
    printf 'GET %s HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n' "$2" >&3
    cat <&3
    exec 3>&-
}

# post ADDRESS/PATH BODY
post()
{
    local address=${1%%/*} path=/${1#*/}
    exec 3<>"/dev/tcp/${address%:*}/${address#*:}"
    printf 'POST %s HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\nContent-Length: %s\r\n\r\n%s' "$path" "${#2}" "$2" >&3
    cat <&3 >/dev/null
    exec 3>&-
}

# owner: the name of the entry that owns the jobs by its metrics.
owner()
{
    local i
    for i in "${!callers[@]}"; do
        if ask "${metrics[$i]}" /metrics 2>/dev/null | grep -q '^laburnumflow_owner_epoch [1-9]'; then
            echo "entry-$i"
            return 0
        fi
    done
    return 1
}

# ready_workers: how many workers the owner of the jobs would use.
ready_workers()
{
    local i
    for i in "${!metrics[@]}"; do
        ask "${metrics[$i]}" /status 2>/dev/null || true
    done | grep -o '"state":"ready"' | wc -l
}

# start_site ENTRIES SLOTS:SPEED...: one agent for each shape of a worker. Returns when the entries are ready.
start_site()
{
    local entries=$1 i
    shift
    local shapes=()
    for i in "$@"; do
        shapes+=(--worker "$i")
    done
    start site "$bin/platformsite" "${shapes[@]}" --ports $((4 * entries)) --record "$work/record.json"
    for i in $(seq 100); do
        [ -s "$work/site.out" ] && break
        sleep 0.1
    done
    local ports
    IFS=, read -r -a ports <<<"$(value site ports)"
    ready=()
    metrics=()
    for ((i = 0; i < entries; ++i)); do
        callers+=("127.0.0.1:${ports[4 * i]}")
        ready+=("127.0.0.1:${ports[4 * i + 1]}")
        metrics+=("127.0.0.1:${ports[4 * i + 3]}")
        cat >"$work/entry-$i.yaml" <<YAML
role: entry
name: entry-$i
failureDomain: domain-$i
callers: "${callers[$i]}"
ready: "${ready[$i]}"
peers: "127.0.0.1:${ports[4 * i + 2]}"
metrics: "${metrics[$i]}"
store: {address: "$(value site store)"}
YAML
        start "entry-$i" "$bin/laburnumnode" --config "$work/entry-$i.yaml"
    done
    for ((i = 0; i < $#; ++i)); do
        cat >"$work/agent-$i.yaml" <<YAML
role: agent
name: agent-$i
failureDomain: domain-$i
registration: "$(value site "agent-$i")"
worker: "$(value site "worker-$i")"
store: {address: "$(value site store)"}
YAML
        start "agent-$i" "$bin/laburnumnode" --config "$work/agent-$i.yaml"
    done
    for i in $(seq 300); do
        sleep 0.1
        [ "$(ready_workers)" -eq $# ] && return 0
    done
    echo "the processes are not ready; see $work" >&2
    return 1
}

# stop_site: ends the processes in the order in which a planned stop does, and the stand-ins last, which write their record.
stop_site()
{
    local name
    for name in "$work"/entry-*.pid "$work"/agent-*.pid "$work/site.pid"; do
        kill -TERM "$(cat "$name")" 2>/dev/null || true
        wait "$(cat "$name")" 2>/dev/null || true
    done
}
