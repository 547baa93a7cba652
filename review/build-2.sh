#!/usr/bin/env bash
# Prepares the scripted cases 6 to 10. Their stand-ins are Python without further modules, so nothing is compiled: this
# checks that the interpreter takes them. The program itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for source in harness-2/*.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$source"
done
python3 -c 'import asyncio; asyncio.timeout'
