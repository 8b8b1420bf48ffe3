#!/bin/sh
# The stand-ins of the scripts need Python's standard library only; this checks them.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib/*.py review/*/run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
