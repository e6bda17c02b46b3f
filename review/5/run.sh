#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/case-5 ] && [ -x target/rhubarb-fleet ] && [ -x target/rhubarb-pooler ] || exit 2
timeout 120 target/review/case-5 "$folder"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
