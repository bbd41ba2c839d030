#!/bin/sh
# Checks that the stand-ins can be compiled; they need only python3.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path().rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
END
