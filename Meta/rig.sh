# Functions that start a fleet of proxies and stand-ins on loopback; sourced by run.sh and bench.sh.
# Every process is started here, by the shell, and ended by its id.
#
# Variables that may be set before rig_start:
#   rigNodes (7 or fewer; default 3), rigGroups (default 2), rigSlots (5), rigLagMs (5),
#   rigServiceUs (200), rigPlatformDelayMs (0), rigBasePort (7000)

rigRoot="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
rigBin="$rigRoot/Build/bin"
rigNodes="${rigNodes:-3}"
rigGroups="${rigGroups:-2}"
rigSlots="${rigSlots:-5}"
rigLagMs="${rigLagMs:-5}"
rigServiceUs="${rigServiceUs:-200}"
rigPlatformDelayMs="${rigPlatformDelayMs:-0}"
rigBasePort="${rigBasePort:-7000}"
rigDirectory=""
rigSalt="00112233445566778899aabbccddeeff"
rigSecret="$(head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n')"
declare -A rigPids=()

platformPort() { echo $((rigBasePort + 400)); }
callerPort() { echo $((rigBasePort + 700 + $1)); }
adminPort() { echo $((rigBasePort + 720 + $1)); }
peerPort() { echo $((rigBasePort + 740 + $1)); }
databasePort() { echo $((rigBasePort + 500 + $1 * 10 + $2)); }
controlPort() { echo $((rigBasePort + 600 + $1 * 10 + $2)); }
dataCentreOf() { echo "dc$((($1 - 1) % 3 + 1))"; }

# rig_spawn NAME COMMAND...: starts a process in the background with its log in the rig's folder.
rig_spawn() {
    local name="$1"
    shift
    "$@" >>"$rigDirectory/$name.log" 2>&1 &
    rigPids[$name]=$!
}

# rig_end NAME [SIGNAL]: ends a process that the rig started, and waits for it.
rig_end() {
    local name="$1" signal="${2:-TERM}"
    [ -n "${rigPids[$name]:-}" ] || return 0
    kill "-$signal" "${rigPids[$name]}" 2>/dev/null || true
    wait "${rigPids[$name]}" 2>/dev/null || true
    unset "rigPids[$name]"
}

rig_stop() {
    local name
    for name in "${!rigPids[@]}"; do kill -CONT "${rigPids[$name]}" 2>/dev/null || true; done
    for name in "${!rigPids[@]}"; do kill -KILL "${rigPids[$name]}" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rigPids=()
}

rig_start_database() {
    local group="$1" index="$2" other peers=()
    for other in 1 2 3; do
        [ "$other" = "$index" ] && continue
        peers+=(--peer "g$group-d$other/$(dataCentreOf "$other")/127.0.0.1:$(databasePort "$group" "$other")")
    done
    rig_spawn "g$group-d$index" "$rigBin/chervilpin-upstream-stand-in" --name "g$group-d$index" \
        --group "g$group" --data-centre "$(dataCentreOf "$index")" \
        --listen "127.0.0.1:$(databasePort "$group" "$index")" \
        --control "127.0.0.1:$(controlPort "$group" "$index")" \
        --initial-primary "g$group-d$(((group - 1) % 3 + 1))" "${peers[@]}" \
        --journal "$rigDirectory/g$group-d$index.journal" --slots "$rigSlots" \
        --lag-ms "$rigLagMs" --service-us "$rigServiceUs"
}

rig_write_settings() {
    local node="$1" other digest
    digest="$(printf '%b' "$(echo "$rigSalt" | sed 's/../\\x&/g')\\x00$rigSecret" | sha256sum | cut -d' ' -f1)"
    {
        cat <<TOML
[node]
name = "n$node"
data_centre = "$(dataCentreOf "$node")"
lame_duck_ms = 300
[listen]
callers = "127.0.0.1:$(callerPort "$node")"
admin = "127.0.0.1:$(adminPort "$node")"
peers = "127.0.0.1:$(peerPort "$node")"
[platform]
address = "127.0.0.1:$(platformPort)"
[operators]
credential_salt = "$rigSalt"
credential_sha256 = "$digest"
[trace]
file = "$rigDirectory/spans-n$node.jsonl"
sample_one_in = 50
TOML
        for other in $(seq 1 "$rigNodes"); do
            [ "$other" = "$node" ] && continue
            printf '[[peer]]\nname = "n%s"\ndata_centre = "%s"\naddress = "127.0.0.1:%s"\n' \
                "$other" "$(dataCentreOf "$other")" "$(peerPort "$other")"
        done
    } >"$rigDirectory/n$node.toml"
}

# The platform's own list of VMs; in production the platform keeps it by itself.
rig_list_vm() {
    local node="$1" isLeaving="${2:-false}"
    curl -s -o /dev/null -X PUT \
        -d "{\"data_centre\":\"$(dataCentreOf "$node")\",\"peer_address\":\"127.0.0.1:$(peerPort "$node")\",\"leaving\":$isLeaving}" \
        "http://127.0.0.1:$(platformPort)/vms/n$node"
}

rig_start_proxy() {
    local node="$1"
    rig_write_settings "$node"
    rig_list_vm "$node"
    rig_spawn "n$node" "$rigBin/chervilpind" --config "$rigDirectory/n$node.toml"
}

# rig_wait_for DESCRIPTION SECONDS COMMAND...: repeats a command until it succeeds.
rig_wait_for() {
    local what="$1" seconds="$2" end
    shift 2
    end=$((SECONDS + seconds))
    until "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then
            echo "rig: $what did not happen within $seconds s" >&2
            return 1
        fi
        sleep 0.05
    done
}

rig_is_ready() { curl -sf "http://127.0.0.1:$(adminPort "$1")/readyz"; }

rig_start() {
    local group index node
    rigDirectory="$(mktemp -d)"
    export CHERVILPIN_OPERATOR="cvo_root_$rigSecret"
    export CHERVILPIN_SERVER="127.0.0.1:$(callerPort 1)"
    rig_spawn platform "$rigBin/chervilpin-platform-stand-in" --listen "127.0.0.1:$(platformPort)" \
        --delay-ms "$rigPlatformDelayMs"
    rig_wait_for "the platform" 10 curl -sf "http://127.0.0.1:$(platformPort)/health"
    for group in $(seq 1 "$rigGroups"); do
        for index in 1 2 3; do rig_start_database "$group" "$index"; done
    done
    for node in $(seq 1 "$rigNodes"); do rig_start_proxy "$node"; done
    for node in $(seq 1 "$rigNodes"); do
        rig_wait_for "n$node" 10 curl -sf "http://127.0.0.1:$(adminPort "$node")/healthz"
    done
}

# rig_resources TEAMS: the configuration as TOML; TEAMS are lines of `name half rate burst weight`.
# Group g is owned by the half north, and the route r<g> leads to it.
rig_resources() {
    local teams="$1" name half rate burst weight group index
    cat <<TOML
[[resource]]
kind = "Half"
name = "north"
spec = { caller_endpoint = "http://127.0.0.1:$(callerPort 1)" }
[[resource]]
kind = "Half"
name = "south"
spec = { caller_endpoint = "http://127.0.0.1:$(callerPort 2)" }
TOML
    while read -r name half rate burst weight; do
        [ -n "$name" ] || continue
        printf '[[resource]]\nkind = "Team"\nname = "%s"\nspec = { half = "%s", rate_per_second = %s, burst = %s, weight = %s }\n' \
            "$name" "$half" "$rate" "$burst" "$weight"
    done <<<"$teams"
    for group in $(seq 1 "$rigGroups"); do
        printf '[[resource]]\nkind = "UpstreamGroup"\nname = "g%s"\n[resource.spec]\nhalf = "%s"\nslots = %s\nmax_connections = 30\n' \
            "$group" "${rigOwner:-north}" "$rigSlots"
        for index in 1 2 3; do
            printf '[[resource.spec.databases]]\nname = "g%s-d%s"\naddress = "127.0.0.1:%s"\ndata_centre = "%s"\n' \
                "$group" "$index" "$(databasePort "$group" "$index")" "$(dataCentreOf "$index")"
        done
        printf '[[resource]]\nkind = "Route"\nname = "r%s"\nspec = { group = "g%s", is_open_to_all = false }\n' \
            "$group" "$group"
    done
}

# rig_apply TEAMS: applies that configuration and waits until every proxy has it in force.
rig_apply() {
    local node
    rig_resources "$1" >"$rigDirectory/resources.toml"
    "$rigBin/chervilpinctl" apply -f "$rigDirectory/resources.toml" >"$rigDirectory/apply.log" || {
        cat "$rigDirectory/apply.log" >&2
        return 1
    }
    for node in $(seq 1 "$rigNodes"); do
        rig_wait_for "n$node to be ready" 10 rig_is_ready "$node"
    done
}

# rig_create_key TEAM NAME: prints the key's text, and tells every database to look out for it.
rig_create_key() {
    local team="$1" name="$2" text group index
    text="$("$rigBin/chervilpinctl" create-key "$team" --name "$name" | grep -o 'cvp_[A-Za-z0-9_]*' | head -1)"
    for group in $(seq 1 "$rigGroups"); do
        for index in 1 2 3; do
            curl -s -o /dev/null -X POST -d "{\"secret\":\"$text\"}" \
                "http://127.0.0.1:$(controlPort "$group" "$index")/audit/secrets"
        done
    done
    echo "$text"
}

# rig_call NODE KEY BODY [TOKEN]: sends a statement; the answer's JSON goes to standard output and
# the session token into the file token of the rig's folder.
rig_call() {
    local node="$1" key="$2" body="$3" token="${4:-}"
    curl -s -m 12 -D "$rigDirectory/headers" -X POST -H 'Content-Type: application/json' \
        -H "Authorization: Bearer $key" ${token:+-H "Chervilpin-Session: $token"} \
        -d "$body" "http://127.0.0.1:$(callerPort "$node")/v1/statements"
    sed -n 's/^[Cc]hervilpin-[Ss]ession: *\([^\r]*\)\r*$/\1/p' "$rigDirectory/headers" >"$rigDirectory/token"
}

# rig_field FIELD: the value of a text field of the JSON on standard input.
rig_field() { sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p"; }

# rig_fault PORT JSON: gives a stand-in a fault.
rig_fault() { curl -s -o /dev/null -X POST -d "$2" "http://127.0.0.1:$1/faults"; }

# rig_metric NAME: the sum of a metric over all proxies; NAME may hold labels.
rig_metric() {
    local node
    for node in $(seq 1 "$rigNodes"); do
        curl -s "http://127.0.0.1:$(adminPort "$node")/metrics" || true
    done | awk -v name="$1" 'index($0, name) == 1 { sum += $NF } END { print sum + 0 }'
}

# rig_replica_share: the share of all reads that replicas served.
rig_replica_share() {
    local replica primary
    replica="$(rig_metric 'chervilpin_reads_total{role="replica"}')"
    primary="$(rig_metric 'chervilpin_reads_total{role="primary"}')"
    awk -v r="$replica" -v p="$primary" 'BEGIN { printf "%.4f\n", (r + p > 0) ? r / (r + p) : 0 }'
}

# rig_audit PREFIX: checks what callers were told against what the databases ran; fails on any
# broken promise.
rig_audit() {
    local prefix="$1" group index controls status=0
    for group in $(seq 1 "$rigGroups"); do
        [ -s "${prefix}r$group.jsonl" ] || continue
        controls=()
        for index in 1 2 3; do controls+=(--control "127.0.0.1:$(controlPort "$group" "$index")"); done
        "$rigBin/chervilpin-audit" --history "${prefix}r$group.jsonl" "${controls[@]}" || status=1
    done
    return "$status"
}

# rig_milliseconds: a clock for the steps' own figures.
rig_milliseconds() { date +%s%3N; }
