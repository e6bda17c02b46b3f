#!/usr/bin/env bash
# Runs the script of the case whose folder is the first argument. Exit: 1 the rule was broken, 0 it
# held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -u
case_folder=$(cd "$1" && pwd)
number=$(basename "$case_folder")
cd "$case_folder/../.."
program=build/review-2/case-$number
if [ ! -x "$program" ] || [ ! -x target/rhubarb-fleet ] || [ ! -x target/rhubarb-pooler ]; then
    echo "build first: the line build of deploy/system.toml, then review/build-2.sh"
    exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout 118 "$program" "$folder" "$case_folder/record.txt" "${TROUBLE:-1}"
result=$?
tail -n 1 "$case_folder/record.txt"
[ "$result" -le 1 ] && exit "$result"
exit 2
