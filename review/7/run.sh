#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption. It writes record.txt.
export PYTHONDONTWRITEBYTECODE=1
export TROUBLE="${TROUBLE:-1}"
exec python3 "$(dirname "$0")/case.py"
