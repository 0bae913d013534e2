#!/bin/sh
# Builds the stand-ins of the second review. They need only Python's standard library, so this only
# checks that this Python can compile them. The instances need the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 - review/standins2.py review/4/case.py review/5/case.py <<'PYTHON'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
PYTHON
