#!/bin/sh
# Builds the stand-ins that the cases start. They are Python programs of the standard library, so
# there is nothing to compile: this checks that the interpreter is there and reads them.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, glob, sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for name in ["common.py", *sorted(glob.glob("[0-9]*/case.py"))]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
    print("read", name)
PY
