#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review into build/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for source in review/1[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "build/review-3/case-$number" "$source"
done
