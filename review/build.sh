#!/usr/bin/env bash
# Checks the stand-ins and the cases, which are Python programs without a build step of their own.
# The proxy that they start is built with the command in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
shopt -s nullglob
for file in standins/*.py [1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
