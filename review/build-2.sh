#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into
# target/review-2. Needs g++ and the header nlohmann/json.hpp, both of which the
# deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
g++ -std=c++20 -O2 -Wall -Wextra -I. -c review/standins-2/Testbed.cpp \
  -o "$out/Testbed.o"
for source in review/{6,7,8,9,10}/*.cpp; do
  [ -e "$source" ] || continue
  name=$(basename "$source" .cpp | sed 's/\([a-z]\)\([A-Z]\)/\1-\2/g' | tr A-Z a-z)
  g++ -std=c++20 -O2 -Wall -Wextra -I. "$source" "$out/Testbed.o" \
    -o "$out/$name" -pthread
done
