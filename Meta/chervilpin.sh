#!/usr/bin/env bash
# The project's command surface.
# Usage: chervilpin.sh build | test | run [--stay] | bench [NAME] [--json FILE] | sanitize [address|thread]
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
cd "$root"

build() {
    Meta/install-dependencies.sh >&2
    cmake -S . -B Build -G Ninja >Build.log 2>&1 || { cat Build.log >&2; exit 1; }
    cmake --build Build >&2
}

case "${1:-}" in
build)
    build
    ;;
test)
    build
    known="$(sed '/^#/d; /^$/d; s/|.*//; s/ //g' KNOWN-RED.txt | paste -sd'|')"
    if [ -n "$known" ]; then
        echo "Known to fail, not run (KNOWN-RED.txt):"
        sed '/^#/d' KNOWN-RED.txt
    fi
    ctest --test-dir Build --output-on-failure -j "$(nproc)" ${known:+-E "^($known)$"}
    ;;
run)
    shift
    build
    exec Meta/run.sh "$@"
    ;;
bench)
    shift
    build
    exec Meta/bench.sh "$@"
    ;;
sanitize)
    kind="${2:-address}"
    Meta/install-dependencies.sh >&2
    cmake -S . -B "Build/$kind" -G Ninja "-DCHERVILPIN_SANITIZE_${kind^^}=ON" >/dev/null
    cmake --build "Build/$kind" >&2
    ctest --test-dir "Build/$kind" --output-on-failure -j "$(nproc)"
    ;;
*)
    sed -n '2,3p' "$0" >&2
    exit 2
    ;;
esac
