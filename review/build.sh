#!/bin/sh
# Builds the stand-ins of all cases into review/build. Needs only the JDK.
set -eu
if [ $# -ne 0 ]; then
    echo "build.sh: takes no arguments" >&2
    exit 2
fi
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac -Xlint:all,-try -d build rig/*.java [0-9]/*.java
