#!/bin/sh
# Builds the stand-ins of the cases. They need only Python's standard library (3.11 or newer), so
# this checks that they compile. The programs under test come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for path in ["standins.py", *sorted(glob.glob("*/case.py"))]:
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK
