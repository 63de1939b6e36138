#!/usr/bin/env bash
# The stand-ins are plain Python, of the standard library only; this compiles them to show that they are whole.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.py ./*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
[ -d ../target/deps ] || { echo "target/deps is missing: run the build command of deploy/system.toml first" >&2; exit 1; }
