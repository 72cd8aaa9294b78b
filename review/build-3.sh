#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of review/11 to review/15
# start, the project's own too, into build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B build-review-3 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review-3 -j 8
