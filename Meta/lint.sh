#!/usr/bin/env bash
# Lints the files named on standard input, a few at a time. A file whose preprocessed text and
# settings have passed before is not linted again; the passes are kept beside the compiler cache.
set -euo pipefail
cache="${CHERVILPIN_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/chervilpin-lint}"
mkdir -p "$cache"
export cache

lintOne() {
    file="$1"
    command="$(python3 - "$file" <<'PY'
import json, shlex, sys, os
for entry in json.load(open("Build/compile_commands.json")):
    if os.path.realpath(os.path.join(entry["directory"], entry["file"])) == os.path.realpath(sys.argv[1]):
        words = shlex.split(entry["command"])
        words = [w for w in words if not w.endswith("ccache")]
        cut = words.index("-o")
        words = words[:cut] + words[cut + 2:]
        words = [w for w in words if w != "-c"]
        print(shlex.join(words))
        break
PY
)"
    [ -n "$command" ] || { echo "lint: $file is in no target" >&2; return 1; }
    key="$( (cat .clang-tidy; eval "$command -E -P" 2>/dev/null; cat "$file") | sha256sum | cut -d' ' -f1)"
    [ -e "$cache/$key" ] && return 0
    clang-tidy --quiet -p Build "$file" 2>/dev/null && touch "$cache/$key"
}
export -f lintOne
xargs -P "$(nproc)" -I{} bash -c 'lintOne "$1" || { echo "lint failed: $1" >&2; exit 1; }' _ {}
