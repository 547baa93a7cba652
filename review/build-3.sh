#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. They are Python programs without
# packages of their own, so it only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -B - "$file" <<'CHECK'
import ast
import sys
ast.parse(open(sys.argv[1], encoding="utf-8").read())
CHECK
done
