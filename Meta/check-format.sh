#!/usr/bin/env bash
# Fails when a source file is not formatted; with --fix, formats all files.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
if [ "${1:-}" = --fix ]; then
    mode=(-i)
fi
git ls-files -co --exclude-standard -- '*.h' '*.cpp' | xargs -r -P 8 -n 16 clang-format "${mode[@]}"
