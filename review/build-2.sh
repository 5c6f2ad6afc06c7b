#!/bin/sh
# Checks that the stand-ins of review/6 to review/10 can be run.  They are
# Python programs of the standard library: there is nothing to compile.
set -eu
cd "$(dirname "$0")"
python3 -B - kit-2/kit.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'PY'
import ast
import sys
import tomllib

for name in sys.argv[1:]:
    with open(name) as file:
        ast.parse(file.read(), name)
PY
