#!/bin/sh
# Builds the programs of the cases 6 to 10 into build-review-2/. Needs what the deploy file's build needs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/6/case.cpp review/7/case.cpp review/8/case.cpp review/9/case.cpp review/10/case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "build-review-2/case-$number"
done
