#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases of the second review into target/review-2. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
compile() {
    g++ -std=c++20 -O1 -pthread -Ireview/standin-2 -o "target/review-2/$1" "review/standin-2/$1.cpp" review/standin-2/standin.cpp
}
for driver in $(cd review/standin-2 && ls *.cpp); do
    if [ "$driver" != standin.cpp ]; then
        compile "${driver%.cpp}"
    fi
done
