#!/usr/bin/env bash
# Builds the programs of the scripts in review/ into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review/case-$number" "$source"
done
