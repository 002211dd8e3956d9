#!/usr/bin/env bash
# Checks the stand-ins of the cases 11 to 13. They are written in Python, with its standard library
# alone, so nothing is left to build.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "Python 3 is missing" >&2; exit 1; }
python3 - stand_ins_3/*.py [0-9]*/case.py <<'CHECK'
import ast
import sys

for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
CHECK
