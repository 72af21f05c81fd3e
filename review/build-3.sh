#!/bin/sh
# The stand-ins of the cases 11 and later are Python and need no build: this checks that
# they can be read, and that the libraries which they share with the programs are there.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:review/lib-3" python3 -c '
import clients, export_worker, machines, standins, templates'
