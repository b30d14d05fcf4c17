#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases of the second review into target/review-2. Run it after the build of the deploy file. The
# stand-ins that all cases share are in review/6.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
compile() {
    g++ -std=c++20 -O1 -pthread -Ireview/6 -o "target/review-2/$2" "review/$1/$2.cpp" review/6/standin.cpp
}
compile 6 statehistory
compile 7 largebodies
compile 8 restartedid
compile 9 steppedclock
compile 10 catchup
