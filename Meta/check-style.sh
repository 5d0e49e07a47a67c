#!/usr/bin/env bash
# Runs the formatter in checking mode and the linter over all files that git knows.
# Usage: check-style.sh [format|lint]...; both without arguments. Needs a configured Build/ to lint.
set -euo pipefail
cd "$(dirname "$0")/.."
steps=("$@")
[ "${#steps[@]}" -gt 0 ] || steps=(format lint)

ourSources() {
    git ls-files --cached --others --exclude-standard -- "$@" | grep -v '/Generated/'
}

for step in "${steps[@]}"; do
    case "$step" in
    format) ourSources '*.cpp' '*.h' | xargs clang-format --dry-run --Werror ;;
    lint) ourSources '*.cpp' | Meta/lint.sh ;;
    *)
        echo "check-style.sh: unknown step $step" >&2
        exit 2
        ;;
    esac
done
