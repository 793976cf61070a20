#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 11 to 15 into target/review-3/. Needs what the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
compile=(g++ -std=c++20 -O1 -Wall -Wextra -I review/11/standins)
pids=()
for part in net store site; do
    "${compile[@]}" -c "review/11/standins/$part.cpp" -o "$out/$part.o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for case in review/1[1-5]/case.cpp; do
    number=$(basename "$(dirname "$case")")
    "${compile[@]}" "$case" "$out"/{net,store,site}.o -o "$out/case-$number" -lpthread
done
