#!/bin/bash
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
# Writes record.txt here.
cd "$(dirname "$0")" || exit 2
timeout 120 python3 case.py
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
