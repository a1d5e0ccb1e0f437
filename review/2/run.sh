#!/bin/sh
# -B: no folder for bytecode beside the cases.
exec python3 -B "$(dirname "$0")/case.py"
