#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/8, which are in review/6/lib2.
# They use Python's standard library only and run inside the scripts, so that compiling
# them is all.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q 6/lib2
