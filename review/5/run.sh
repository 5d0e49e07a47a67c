#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
