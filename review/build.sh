#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they use, into target/review/. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I. -Itests -Isrc/libs -Ireview/1)
objects=()
compile()
{
    local object=$out/$(basename "$1" .cpp).o
    g++ "${flags[@]}" -c "$1" -o "$object" &
    objects+=("$object")
}
for source in review/1/standins/*.cpp tests/standins/platformsite/{platformstandin,standinserver}.cpp tests/auto/system/httpcall.cpp src/libs/store/base64.cpp; do
    compile "$source"
done
for job in $(jobs -p); do
    wait "$job"
done
for folder in review/[1-5]; do
    [ -f "$folder/case.cpp" ] || continue
    g++ "${flags[@]}" "$folder/case.cpp" "${objects[@]}" -o "$out/case-$(basename "$folder")" -lmicrohttpd -lcurl -lpthread &
done
for job in $(jobs -p); do
    wait "$job"
done
