#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 into target/review-2/. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/6/standins -B target/review-2 -DCMAKE_BUILD_TYPE=Release -DCMAKE_RUNTIME_OUTPUT_DIRECTORY="$PWD/target/review-2/bin" >/dev/null
cmake --build target/review-2 -j 8
