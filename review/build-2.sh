#!/bin/sh
# The stand-ins of cases 6 to 10 are plain Python files without dependencies; this checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 -B - <<'CHECK'
import pathlib

for path in (pathlib.Path('kit_2.py'), *sorted(pathlib.Path().glob('[6-9]/case.py')), *pathlib.Path().glob('10/case.py')):
    compile(path.read_bytes(), str(path), 'exec')
CHECK
