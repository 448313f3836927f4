#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." && PYTHONPATH=. exec python3 review/3/case.py
