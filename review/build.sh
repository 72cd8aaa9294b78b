#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review. Needs
# the build of the deploy file, with whose packages it gets by.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -I. -isystem wire/gen-cpp)
abseil=()
for part in status cord cord_internal cordz_info cordz_functions cordz_handle \
  exponential_biased synchronization graphcycles_internal stacktrace symbolize \
  demangle_internal debugging_internal malloc_internal strerror time time_zone \
  strings strings_internal int128 throw_delegate raw_logging_internal \
  log_severity base spinlock_wait; do
  abseil+=("-l:libabsl_$part.a")
done
libraries=(target/libgateway_core.a -Wl,--start-group "${abseil[@]}"
  -Wl,--end-group -l:libthrift.a -l:libev.a -l:libxxhash.a -l:libz.a -pthread)

objects=()
pids=()
for source in tests/PlatformStore.cpp tests/ScriptedServer.cpp \
  tests/ReservedPort.cpp review/standins/Standins.cpp; do
  object=$out/$(basename "$source" .cpp).o
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for source in review/*/Case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" -c "$source" -o "$out/case-$number.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for source in review/*/Case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "$out/case-$number.o" "${objects[@]}" "${libraries[@]}" \
    -o "$out/case-$number"
done
