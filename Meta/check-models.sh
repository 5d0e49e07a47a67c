#!/usr/bin/env bash
# Checks the models in Meta/Models exhaustively: the good ones must pass, the broken ones must fail.
# Usage: check-models.sh [full]; full adds the largest models, about 20 million states each.
set -euo pipefail
cd "$(dirname "$0")/.."
models="$PWD/Meta/Models"
model="$models/failover.pml"
directory="$(mktemp -d)"
trap 'rm -rf "$directory"' EXIT
cd "$directory"

# Prints the verifier's summary of the model with the given definitions.
verify() {
    spin -a "$@" "$model"
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=4000 -o pan pan.c
    timeout 110 ./pan -m200000 | grep -E '^pan:|errors:|states, stored|Search not completed|limit'
}

mustPass() {
    summary="$(verify "$@")" || true
    echo "good model $*: $(echo "$summary" | grep -E 'errors:|stored' | tr -s ' ' | tr '\n' ';')"
    grep -q 'errors: 0' <<<"$summary" && ! grep -qE 'not completed|limit' <<<"$summary"
}

mustFail() {
    summary="$(verify "$@")" || true
    echo "broken model $*: $(echo "$summary" | grep -oE 'assertion violated|errors: [0-9]+' | tr '\n' ' ')"
    grep -q 'assertion violated' <<<"$summary"
}

mustPass -DWRITES=2 -DFIRST_LAST=2
mustPass -DWRITES=1 -DFIRST_LAST=4
mustPass -DWRITES=2 -DFIRST_LAST=2 -DRECONCILE_AT_ONCE
mustPass -DWRITES=1 -DFIRST_LAST=4 -DRECONCILE_AT_ONCE -DCOUNT_LATER_TERMS -DINFER_PRIMARY
mustPass -DWRITES=1 -DFIRST_LAST=4 -DINFER_PRIMARY
for defect in FENCE_ONE ACKNOWLEDGE_EARLY COUNT_LATER_TERMS HELD_BY_FOLLOWING CHOOSE_AGAIN IGNORE_TERM; do
    mustFail -DWRITES=1 -DFIRST_LAST=2 "-D$defect"
done
if [ "${1:-}" = full ]; then
    mustPass -DWRITES=2 -DFIRST_LAST=4
fi

model="$models/rights.pml"
mustPass -DRIGHT=1 -DTIME=2 -DREVISIONS=4
for defect in NO_FENCE CONFIRM_AT_ANSWER ADOPT_IN_FLIGHT NO_ANNOUNCE; do
    mustFail -DRIGHT=1 -DTIME=3 -DREVISIONS=4 "-D$defect"
done
mustFail -DRIGHT=1 -DTIME=2 -DREVISIONS=7 -DLAPSE_FROM_ANY
mustFail -DRIGHT=1 -DTIME=1 -DREVISIONS=5 -DRESTORE_ORDERED
if [ "${1:-}" = full ]; then
    mustPass -DRIGHT=2 -DTIME=3 -DREVISIONS=4
    mustPass -DRIGHT=1 -DTIME=1 -DREVISIONS=5
fi

model="$models/lending.pml"
mustPass -DTIME=4 -DREPORTS=2
for defect in FROM_RECEIPT COUNT_GRANTED ANY_ANSWER NO_QUERY; do
    mustFail -DTIME=4 -DREPORTS=2 "-D$defect"
done
if [ "${1:-}" = full ]; then
    mustPass -DTIME=4 -DREPORTS=3
fi
echo "all models as expected"
