#!/bin/sh
# Compiles the stand-ins and the tests of the second review's cases into target/review-2. Needs nothing but the JDK.
# Run it after the build of the deploy file, which empties target.
set -eu
if [ $# -ne 0 ]; then
    echo "build-2.sh takes no arguments" >&2
    exit 2
fi
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
sources=
for source in review/rig-2/*.java review/6/*.java review/7/*.java review/8/*.java review/9/*.java review/10/*.java; do
    [ ! -f "$source" ] || sources="$sources $source"
done
# shellcheck disable=SC2086 # no name contains a space
javac -Xlint:all -d target/review-2 $sources
