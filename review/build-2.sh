#!/bin/sh
# Checks the stand-ins of the scripts in review/6 to review/10. They are Python programs that use the
# standard library only, so nothing is built; the router itself comes from the build of the deploy file.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'CHECK'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
for file in [*sorted(pathlib.Path("stand_ins_2").glob("*.py")), *sorted(pathlib.Path().glob("*/case.py"))]:
    ast.parse(file.read_text(encoding="utf-8"), str(file))
    print(f"{file}: ok")
CHECK
