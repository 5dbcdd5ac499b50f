#!/bin/sh
# Runs this case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
if [ $# -ne 0 ]; then
    echo "run.sh: takes no arguments" >&2
    exit 2
fi
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -f "$root/target/pondridge.jar" ] || [ ! -d "$here/../build" ]; then
    echo "run.sh: first the build of the deploy file, then review/build.sh" >&2
    exit 2
fi
exec java -cp "$here/../build" review.three.ManyCallers "$root" "$here/record.txt"
