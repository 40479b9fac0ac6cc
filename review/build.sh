#!/usr/bin/env bash
# Checks the stand-ins of the cases; they need only Python and its standard library.
set -eu
cd "$(dirname "$0")"
python3 -B - *.py */*.py <<'CHECK'
import ast
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
print(f"{len(sys.argv) - 1} files checked")
CHECK
