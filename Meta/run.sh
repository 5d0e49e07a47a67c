#!/usr/bin/env bash
# Runs the main job on the embedded stand-ins and checks the promises from outside.
# Usage: run.sh [--stay]; expects that the programs are built. Prints one key=value line a step.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/rig.sh
isStaying=""
[ "${1:-}" = "--stay" ] && isStaying=yes
trap rig_stop EXIT
broken=0

# step NAME EXPECTED ACTUAL [FIGURE...]: prints a step and counts it if it did not go as promised.
step() {
    local name="$1" expected="$2" actual="$3"
    shift 3
    if [[ "$actual" == $expected ]]; then
        echo "step=$name result=kept $*"
    else
        echo "step=$name result=BROKEN expected=$expected actual=$actual $*"
        broken=$((broken + 1))
    fi
}

rig_start
echo "step=start result=kept proxies=$rigNodes groups=$rigGroups"

rig_apply "registry north 400 100 1
brokers north 100 50 1
partner south 50 20 1"
started="$(rig_milliseconds)"
key="$(rig_create_key registry desk)"
brokerKey="$(rig_create_key brokers wharf)"
partnerKey="$(rig_create_key partner half)"
[ -n "$key" ] && [ -n "$brokerKey" ] && [ -n "$partnerKey" ]

# The first owners of shares need a moment to be elected.
isServing() {
    local node
    for node in 1 2 3 1 2 3 1 2 3; do
        rig_call "$node" "$key" '{"route":"r1","kind":"write","statement":"put warm 1"}' | grep -q '"outcome":"done"' || return 1
    done
}
rig_wait_for "every proxy to serve" 30 isServing
step configuration done done "configured_to_serving_ms=$(($(rig_milliseconds) - started))"

answer="$(rig_call 1 "$key" '{"route":"r1","kind":"write","statement":"put certificate valid"}')"
token="$(cat "$rigDirectory/token")"
step write done "$(rig_field outcome <<<"$answer")"

answer="$(rig_call 2 "$key" '{"route":"r1","kind":"read","statement":"get certificate"}' "$token")"
step read_your_writes_elsewhere '*"value":"valid"*' "$answer"

answer="$(rig_call 3 "$key" '{"route":"r1","kind":"read","statement":"get certificate"}' garbled)"
step garbled_token_is_safe '*"value":"valid"*' "$answer"

answer="$(rig_call 3 "$key" '{"route":"r1","kind":"read","statement":"get certificate","freshness":"stated_age","max_age_ms":2000}')"
step stated_age done "$(rig_field outcome <<<"$answer")"

transaction="$(rig_call 2 "$key" '{"route":"r1","kind":"begin"}' | rig_field transaction)"
rig_call 2 "$key" '{"route":"r1","kind":"write","statement":"put renewal 1","transaction":"'"$transaction"'"}' >/dev/null
answer="$(rig_call 1 "$key" '{"route":"r1","kind":"read","statement":"get renewal"}' "$token")"
step transaction_is_not_seen_before_commit '*"value":null*' "$(grep -q '"value":"1"' <<<"$answer" && echo seen || echo '"value":null')"
answer="$(rig_call 2 "$key" '{"route":"r1","kind":"commit","transaction":"'"$transaction"'"}')"
token="$(cat "$rigDirectory/token")"
step transaction_commits done "$(rig_field outcome <<<"$answer")"
answer="$(rig_call 3 "$key" '{"route":"r1","kind":"read","statement":"get renewal"}' "$token")"
step transaction_is_seen_after_commit '*"value":"1"*' "$answer"

# Load over all proxies while the primary of group 1 is killed and later comes back.
loadKeys=(--team "registry,$key,100,400,100" --team "brokers,$brokerKey,40,100,50")
proxies=()
for node in $(seq 1 "$rigNodes"); do proxies+=(--proxy "127.0.0.1:$(callerPort "$node")"); done
"$rigBin/chervilpin-load" "${proxies[@]}" --route r1 --route r2 "${loadKeys[@]}" --seconds 8 \
    --write-share 0.4 --strong-share 0.1 --aged-share 0.1 --history "$rigDirectory/history-" \
    >"$rigDirectory/load.txt" &
load=$!
sleep 2
rig_end g1-d1 KILL
sleep 3
rig_start_database 1 1
wait "$load"
gap="$(sed -n 's/^write_gap_ms.r1=//p' "$rigDirectory/load.txt")"
step failover '1' "$(awk -v g="$gap" 'BEGIN { print (g > 0 && g <= 7000) }')" "failover_gap_ms=$gap" \
    "wrongful_refusals=$(sed -n 's/^wrongful_refusals=//p' "$rigDirectory/load.txt")" \
    "replica_read_share=$(rig_replica_share)" \
    "$(grep -E '^(sent|done|unknown|p50_ms|p99_ms)=' "$rigDirectory/load.txt" | tr '\n' ' ')"
sleep 1
audit="$(rig_audit "$rigDirectory/history-" | tr '\n' ' ')" || true
step audit 'lost=0 doubled=0 untrue_not_run=0 stale_reads=0 mixed_transactions=0 keys_seen=0 lost=0 doubled=0 untrue_not_run=0 stale_reads=0 mixed_transactions=0 keys_seen=0 ' "$audit"

# A withdrawn key stops everywhere.
"$rigBin/chervilpinctl" delete Key wharf >/dev/null
started="$(rig_milliseconds)"
isWithdrawn() {
    local node
    for node in $(seq 1 "$rigNodes"); do
        rig_call "$node" "$brokerKey" '{"route":"r1","kind":"read","statement":"get warm"}' | grep -q unknown_key || return 1
    done
}
rig_wait_for "the key's withdrawal" 3 isWithdrawn && withdrawn=yes || withdrawn=no
step withdrawn_key yes "$withdrawn" "key_withdrawn_ms=$(($(rig_milliseconds) - started))"

# Group 2 goes to the other half.
answer="$(rig_call 1 "$partnerKey" '{"route":"r2","kind":"read","statement":"get warm"}')"
step wrong_half_is_told_where_to_go '*wrong_half*"location":"http*' "$answer"
rig_resources "registry north 400 100 1
brokers north 100 50 1
partner south 50 20 1" | awk '/name = "g2"/ { inGroup = 1 } inGroup && /^half/ { sub("north", "south"); inGroup = 0 } { print }' \
    >"$rigDirectory/moved.toml"
started="$(rig_milliseconds)"
"$rigBin/chervilpinctl" apply -f "$rigDirectory/moved.toml" >"$rigDirectory/moved.log"
isMoved() { rig_call 3 "$partnerKey" '{"route":"r2","kind":"write","statement":"put moved 1"}' | grep -q '"outcome":"done"'; }
rig_wait_for "the change of ownership" 7 isMoved && moved=yes || moved=no
step ownership_change yes "$moved" "ownership_ms=$(($(rig_milliseconds) - started))"
answer="$(rig_call 1 "$key" '{"route":"r2","kind":"write","statement":"put late 1"}')"
step old_half_is_refused '*not_run*wrong_half*' "$answer"

# A planned stop under load cuts off no request.
admins=()
for node in $(seq 1 "$rigNodes"); do admins+=(--admin "127.0.0.1:$(adminPort "$node")"); done
"$rigBin/chervilpin-load" "${proxies[@]}" "${admins[@]}" --route r1 \
    --team "registry,$key,100,400,100" --seconds 4 >"$rigDirectory/stop-load.txt" &
load=$!
sleep 1
kill -TERM "${rigPids[n3]}"
wait "${rigPids[n3]}" && stopped=0 || stopped=$?
unset "rigPids[n3]"
wait "$load"
sent="$(sed -n 's/^sent=//p' "$rigDirectory/stop-load.txt")"
answered="$(sed -n 's/^done=//p' "$rigDirectory/stop-load.txt")"
step planned_stop "0 $sent" "$stopped $answered" "sent=$sent done=$answered"

echo "result=$([ "$broken" = 0 ] && echo kept || echo BROKEN) broken=$broken"
if [ -n "$isStaying" ]; then
    echo "callers=127.0.0.1:$(callerPort 1) admin=127.0.0.1:$(adminPort 1) folder=$rigDirectory"
    echo "operator=$CHERVILPIN_OPERATOR key=$key"
    wait
fi
[ "$broken" = 0 ]
