#!/usr/bin/env bash
# Builds the cases and their stand-ins into target/review/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
    number="$(basename "$(dirname "$source")")"
    g++ -std=c++20 -O1 -Wall -Wextra -Ireview "$source" review/harness.cpp -pthread -o "target/review/case-$number" &
done
wait
for source in review/*/case.cpp; do
    test -x "target/review/case-$(basename "$(dirname "$source")")"
done
