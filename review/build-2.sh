#!/bin/sh
# Builds the stand-ins of the second review. They are Python programs that use the standard library
# only, so they are just checked. The nodes are the project's own program, built as the deploy file
# says.
cd "$(dirname "$0")" && exec python3 - <<'CHECK'
import ast, sys, tomllib
assert sys.version_info >= (3, 11)
for path in ["standins2.py", "crash_cases2.py"] + [f"{case}/case.py" for case in range(6, 11)]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
