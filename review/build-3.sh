#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
objects=""
pids=""
for source in review/standins-3/*.cpp; do
    object="target/review-3/$(basename "$source" .cpp).o"
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-psabi -c "$source" -o "$object" &
    pids="$pids $!"
    objects="$objects $object"
done
for pid in $pids; do wait "$pid"; done
# shellcheck disable=SC2086
g++ $objects -o target/review-3/standins -pthread
