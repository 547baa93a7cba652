#!/usr/bin/env bash
# Builds every stand-in that the scripts start. They are Python sources without dependencies, so it only checks them;
# the programs under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; print("stand-ins run on Python", sys.version.split()[0])'
for file in harness/*.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
