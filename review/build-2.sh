#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into build-review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for case in cutanswer crashingrequest slowreader; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread \
        review/standins-2/kit.cpp "review/standins-2/$case.cpp" -o "build-review-2/$case"
done
