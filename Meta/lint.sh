#!/usr/bin/env bash
# Runs clang-tidy over all source files of the release build, or over the files given.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release > /dev/null
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files -co --exclude-standard -- '*.cpp')
fi
# clang-tidy reports the count of suppressed system warnings on standard error; only findings matter here.
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p Build --quiet 2> >(grep -v 'warnings\? generated' >&2)
