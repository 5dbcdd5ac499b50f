#!/bin/sh
# Runs the test of case 9; see claim.txt. TROUBLE=0 runs it without the disruption.
if [ $# -ne 0 ]; then
    echo "run.sh takes no arguments" >&2
    exit 2
fi
exec "$(dirname "$0")/../rig-2/run-case.sh" 9 SilentWatches
