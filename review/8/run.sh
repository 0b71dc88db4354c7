#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
timeout -k 1 119 python3 -B case.py
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
