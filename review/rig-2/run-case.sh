#!/bin/sh
# Runs one case: run-case.sh NUMBER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
if [ $# -ne 2 ]; then
    echo "expected the number of a case and its class" >&2
    exit 2
fi
cd "$(dirname "$0")/../.." || exit 2
for needed in target/pondridge.jar "target/review-2/$2.class"; do
    if [ ! -f "$needed" ]; then
        echo "missing: $needed; run the build of deploy/balancer.toml, then review/build-2.sh" >&2
        exit 2
    fi
done
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx256m -cp target/review-2 "$2" "review/$1/record.txt" &
test=$!
# Told to end, the test ends its own processes.
trap 'kill "$test" 2>/dev/null' INT TERM
wait "$test"
# 1 is what a virtual machine that could not start returns, so a broken rule has a status of its own.
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
