#!/usr/bin/env bash
# Runs experiments on real processes and stand-ins and prints key=value figures.
# Usage: bench.sh [NAME] [--json FILE]; NAME is one of the experiments below, or all. Expects that
# the programs are built. Bounded in time; loopback only; never part of a verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/rig.sh
trap rig_stop EXIT
figures="$(mktemp)"

figure() {
    echo "$1=$2" | tee -a "$figures"
}

# The users' profiles: name, lag, slots.
profiles=("maraval 5 5" "kebersihan 3 2")
teamLines="big1 north 400 100 1
big2 north 300 80 1
mid1 north 60 20 1
mid2 north 60 20 1
small1 north 20 10 1
small2 north 20 10 1
small3 north 20 10 1
small4 north 20 10 1"

useProfile() {
    read -r profile rigLagMs rigSlots <<<"$1"
}

# startFleet NODES GROUPS: starts and configures; sets proxies and teams for chervilpin-load.
startFleet() {
    local node name half rate burst weight key
    rigNodes="$1" rigGroups="$2"
    rig_start
    rig_apply "$teamLines"
    proxies=()
    for node in $(seq 1 "$rigNodes"); do proxies+=(--proxy "127.0.0.1:$(callerPort "$node")"); done
    routes=()
    for group in $(seq 1 "$rigGroups"); do routes+=(--route "r$group"); done
    keys=()
    while read -r name half rate burst weight; do
        key="$(rig_create_key "$name" "key$name")"
        keys+=("$name,$key,$rate,$burst")
    done <<<"$teamLines"
    sleep 5
}

# teamArguments SHARE [AGGRESSOR]: each team at SHARE of its rate, the aggressor at 5 times its rate.
teamArguments() {
    local share="$1" aggressor="${2:-}" entry name key rate burst offered
    teams=()
    for entry in "${keys[@]}"; do
        IFS=, read -r name key rate burst <<<"$entry"
        offered="$(awk -v r="$rate" -v s="$share" 'BEGIN { print r * s }')"
        [ "$name" = "$aggressor" ] && offered="$((rate * 5))"
        teams+=(--team "$name,$key,$offered,$rate,$burst")
    done
}

load() { "$rigBin/chervilpin-load" "${proxies[@]}" "${routes[@]}" "${teams[@]}" "$@"; }
valueOf() { sed -n "s/^$1=//p" "$2" | head -1; }

benchFailover() {
    local entry round gaps
    for entry in "${profiles[@]}"; do
        useProfile "$entry"
        startFleet 7 3
        teamArguments 0.3
        gaps=""
        for round in 1 2 3; do
            load --seconds 5 --write-share 0.5 --seed "$round" --history "$rigDirectory/failover$round-" \
                >"$rigDirectory/failover$round.txt" &
            loadId=$!
            sleep 2
            primary="$("$rigBin/chervilpinctl" describe UpstreamGroup "g$round" | grep -o "g$round-d[123] is the primary" | cut -d' ' -f1 | head -1)"
            primary="${primary:-g$round-d$round}"
            if [ "$round" = 3 ]; then
                kill -STOP "${rigPids[$primary]}"
                wait "$loadId"
                kill -CONT "${rigPids[$primary]}"
            else
                rig_end "$primary" KILL
                wait "$loadId"
                rig_start_database "$round" "${primary##*d}"
            fi
            gaps+="$(valueOf "write_gap_ms.r$round" "$rigDirectory/failover$round.txt") "
            figure "$profile.failover_gap_ms.round$round" "$(valueOf "write_gap_ms.r$round" "$rigDirectory/failover$round.txt")"
            figure "$profile.failover_unknown.round$round" "$(valueOf unknown "$rigDirectory/failover$round.txt")"
            sleep 1
            figure "$profile.failover_audit.round$round" "$(rig_audit "$rigDirectory/failover$round-" | sort -u | tr ' \n' ',;' || true)"
        done
        figure "$profile.failover_gap_ms.p50" "$(tr ' ' '\n' <<<"$gaps" | sed '/^$/d' | sort -n | sed -n 2p)"
        figure "$profile.failover_gap_ms.max" "$(tr ' ' '\n' <<<"$gaps" | sed '/^$/d' | sort -n | tail -1)"
        rig_stop
    done
}

benchReads() {
    local entry
    for entry in "${profiles[@]}"; do
        useProfile "$entry"
        startFleet 7 3
        teamArguments 0.6
        load --seconds 8 --write-share 0.2 --strong-share 0.1 --aged-share 0.2 >"$rigDirectory/reads.txt"
        figure "$profile.replica_read_share" "$(rig_replica_share)"
        figure "$profile.reads_p50_ms" "$(valueOf p50_ms "$rigDirectory/reads.txt")"
        figure "$profile.reads_p99_ms" "$(valueOf p99_ms "$rigDirectory/reads.txt")"
        rig_stop
    done
    "$rigBin/chervilpin-bench-reads" --seed 4 | tee -a "$figures"
}

benchFairness() {
    local entry
    for entry in "${profiles[@]}"; do
        useProfile "$entry"
        startFleet 7 3
        teamArguments 0.7
        load --seconds 8 >"$rigDirectory/calm.txt"
        teamArguments 0.7 big2
        load --seconds 8 --seed 2 >"$rigDirectory/aggressor.txt"
        figure "$profile.worst_team_p99_ratio.calm" "$(valueOf worst_team_p99_ratio "$rigDirectory/calm.txt")"
        figure "$profile.worst_team_p99_ratio.aggressor" "$(valueOf worst_team_p99_ratio "$rigDirectory/aggressor.txt")"
        figure "$profile.wrongful_refusals.calm" "$(valueOf wrongful_refusals "$rigDirectory/calm.txt")"
        figure "$profile.wrongful_refusals.aggressor" "$(valueOf wrongful_refusals "$rigDirectory/aggressor.txt")"
        figure "$profile.small1_p99_ms.calm" "$(valueOf team.small1.p99_ms "$rigDirectory/calm.txt")"
        figure "$profile.small1_p99_ms.aggressor" "$(valueOf team.small1.p99_ms "$rigDirectory/aggressor.txt")"
        rig_stop
    done
}

benchLimits() {
    "$rigBin/chervilpin-bench-limits" limits --seed 1 | sed 's/^/limits./' | tee -a "$figures"
    "$rigBin/chervilpin-bench-limits" fairness --seed 1 | sed 's/^/fairness./' | tee -a "$figures"
    "$rigBin/chervilpin-bench-limits" cost | sed 's/^/cost./' | tee -a "$figures"
}

# One proxy: overhead against the same load rate, throughput on a core, memory of idle callers.
benchProxy() {
    local rate before after pid idle base
    rigLagMs=2 rigSlots=5
    teamLines="big1 north 100000 20000 1"
    startFleet 1 1
    pid="${rigPids[n1]}"
    for rate in 500 1000 2100 4000; do
        teams=(--team "big1,${keys[0]#*,}")
        IFS=, read -r _ key _ _ <<<"${keys[0]}"
        teams=(--team "big1,$key,$rate,100000,20000")
        before="$(awk '{ print $14 + $15 }' "/proc/$pid/stat")"
        load --seconds 5 --sessions 256 >"$rigDirectory/rate.txt"
        after="$(awk '{ print $14 + $15 }' "/proc/$pid/stat")"
        figure "proxy.rate$rate.done" "$(valueOf done "$rigDirectory/rate.txt")"
        figure "proxy.rate$rate.p50_ms" "$(valueOf p50_ms "$rigDirectory/rate.txt")"
        figure "proxy.rate$rate.p99_ms" "$(valueOf p99_ms "$rigDirectory/rate.txt")"
        figure "proxy.rate$rate.core_share" "$(awk -v t="$((after - before))" 'BEGIN { print t / 500 }')"
        figure "proxy.rate$rate.statements_per_core_s" "$(awk -v t="$((after - before))" -v d="$(valueOf done "$rigDirectory/rate.txt")" 'BEGIN { print d / (t / 100) }')"
    done
    base="$(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")"
    idle=6600
    "$rigBin/chervilpin-load" --idle-connections "$idle" --proxy "127.0.0.1:$(callerPort 1)" --route r1 \
        --team "big1,$key,0,1,1" --seconds 6 >/dev/null &
    loadId=$!
    sleep 4
    after="$(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")"
    figure proxy.idle_connections "$(curl -s "http://127.0.0.1:$(adminPort 1)/metrics" | sed -n 's/^chervilpin_caller_connections //p')"
    figure proxy.bytes_per_idle_connection "$(((after - base) * 1024 / idle))"
    wait "$loadId"
    rig_stop
    teamLines="$defaultTeamLines"
}

# What control costs with nothing to do, by the number of proxies.
benchControl() {
    local nodes bytes calls ticks pid seconds=10
    rigLagMs=5 rigSlots=5
    for nodes in 2 4 7; do
        startFleet "$nodes" 3
        pid="${rigPids[n1]}"
        bytes="$(rig_metric chervilpin_peer_sent_bytes)"
        calls="$(rig_metric chervilpin_platform_calls)"
        ticks="$(awk '{ print $14 + $15 }' "/proc/$pid/stat")"
        sleep "$seconds"
        figure "control.nodes$nodes.bytes_s_per_node" "$((($(rig_metric chervilpin_peer_sent_bytes) - bytes) / seconds / nodes))"
        figure "control.nodes$nodes.platform_calls_s" "$(awk -v a="$calls" -v b="$(rig_metric chervilpin_platform_calls)" -v s="$seconds" 'BEGIN { print (b - a) / s }')"
        figure "control.nodes$nodes.cpu_pct" "$(awk -v t="$(($(awk '{ print $14 + $15 }' "/proc/$pid/stat") - ticks))" -v s="$seconds" 'BEGIN { print t / s }')"
        figure "control.nodes$nodes.rss_mb" "$(awk '/VmRSS/ { print $2 / 1024 }' "/proc/$pid/status")"
        rig_stop
    done
}

# From the operator's change to the last proxy that has it in force.
benchConfig() {
    local round started slowest times=""
    startFleet 7 3
    for round in 1 2 3 4 5 6 7 8 9; do
        printf '[[resource]]\nkind = "Team"\nname = "extra%s"\nspec = { half = "north", rate_per_second = 1, burst = 1, weight = 1 }\n' \
            "$round" >"$rigDirectory/extra.toml"
        started="$(rig_milliseconds)"
        "$rigBin/chervilpinctl" apply -f "$rigDirectory/extra.toml" >/dev/null
        for node in $(seq 1 "$rigNodes"); do
            rig_wait_for "the change at n$node" 16 "$rigBin/chervilpinctl" \
                --server "127.0.0.1:$(callerPort "$node")" get Team "extra$round"
        done
        slowest="$(($(rig_milliseconds) - started))"
        times+="$slowest "
    done
    figure config_in_force_ms.p50 "$(tr ' ' '\n' <<<"$times" | sed '/^$/d' | sort -n | sed -n 5p)"
    figure config_in_force_ms.max "$(tr ' ' '\n' <<<"$times" | sed '/^$/d' | sort -n | tail -1)"
    rig_stop
}

# Replaces every proxy, one at a time, under load.
benchRolling() {
    local node
    startFleet 3 2
    teamArguments 0.3
    adminArguments=()
    for node in 1 2 3; do adminArguments+=(--admin "127.0.0.1:$(adminPort "$node")"); done
    load "${adminArguments[@]}" --seconds 20 --history "$rigDirectory/rolling-" >"$rigDirectory/rolling.txt" &
    loadId=$!
    sleep 2
    for node in 3 2 1; do
        rig_end "n$node" TERM
        rig_start_proxy "$node"
        rig_wait_for "n$node to be ready" 10 rig_is_ready "$node"
        sleep 1
    done
    wait "$loadId"
    for name in sent done unknown wrongful_refusals p99_ms; do
        figure "rolling.$name" "$(valueOf "$name" "$rigDirectory/rolling.txt")"
    done
    grep refused "$rigDirectory/rolling.txt" | sed "s/^/rolling./" | tee -a "$figures" || true
    figure rolling.audit "$(rig_audit "$rigDirectory/rolling-" | sort -u | tr ' \n' ',;' || true)"
    rig_stop
}

defaultTeamLines="$teamLines"
experiment="all"
json=""
while [ $# -gt 0 ]; do
    case "$1" in
    --json)
        json="$2"
        shift
        ;;
    *) experiment="$1" ;;
    esac
    shift
done
declare -A experiments=([failover]=benchFailover [reads]=benchReads [fairness]=benchFairness
    [limits]=benchLimits [proxy]=benchProxy [control]=benchControl [config]=benchConfig
    [rolling]=benchRolling)
if [ "$experiment" = all ]; then
    for name in proxy control reads failover fairness config rolling limits; do "${experiments[$name]}"; done
elif [ -n "${experiments[$experiment]:-}" ]; then
    "${experiments[$experiment]}"
else
    echo "bench.sh: no experiment $experiment; there are: ${!experiments[*]} all" >&2
    exit 2
fi
if [ -n "$json" ]; then
    awk -F= 'BEGIN { printf "{" } { printf "%s\"%s\":\"%s\"", (NR > 1 ? "," : ""), $1, $2 } END { print "}" }' \
        "$figures" >"$json"
fi
