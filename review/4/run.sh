#!/bin/sh
# Runs the case and writes review/4/record.txt; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B 4/case.py
