#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
PYTHONPATH="$root" exec timeout 118 python3 "$root/review/12/case.py"
