#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They need only Python's standard
# library, so there is nothing to install; this checks that they compile.
set -eu
cd "$(dirname "$0")/stand3"
PYTHONDONTWRITEBYTECODE=1 exec python3 -c '
import pathlib
for path in sorted(pathlib.Path(".").glob("*.py")):
    compile(path.read_text(), str(path), "exec")
'
