#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 into build-review-2/. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B build-review-2 -DCMAKE_BUILD_TYPE=Release -DCMAKE_RUNTIME_OUTPUT_DIRECTORY="$PWD/build-review-2/bin" >/dev/null
cmake --build build-review-2 -j 8
