#!/usr/bin/env bash
# Fails if a name of the users' platform stands outside platform/, deploy/ and their tests.
set -euo pipefail
cd "$(dirname "$0")/.."
names='STEPDOWN|WAITPOS|READONLY|WRONGNODE|CONNLIMIT|UNKNOWNDB|INDOUBT|DEALLOC|bounded_staleness|read_own_writes|maxStalenessMs|txIdleMs|syncReplicas|authExempt|apiKeys|ratePerS|burstSize|routeType|targetLatencyMs|coldLeftMs|dbRole|Duty-Holder|Fencing-Token|v1/objects|currentRev|internalPorts|machineClass|allowedRegions|coldPerS|coldStartS|evacuateMs|Store-Era'
if git grep -nwE "$names" -- Libraries Services Utilities Tests ':!Tests/Adapter' ':!Tests/Fuzz'; then
    echo "check-names.sh: the names above belong into platform/ only" >&2
    exit 1
fi
echo "check-names.sh: no name of the platform outside platform/"
