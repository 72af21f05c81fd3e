#!/bin/sh
# Runs the case and writes review/3/record.txt; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B 3/case.py
