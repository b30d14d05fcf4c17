#!/usr/bin/env bash
# Builds the stand-ins of the cases review/11 to review/15 into target/review-3. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review -o "target/review-3/case-$number" "$source"
done
