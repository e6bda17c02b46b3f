#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build/review-2. They need a C++17 compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/[0-9]*/standins.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -I review/common-2 -o "build/review-2/case-$number" "$source"
done
