#!/usr/bin/env bash
# The stand-ins are Python and use the standard library only; this checks that
# they compile. It uses neither the network nor the project's own stand-ins.
cd "$(dirname "$0")" || exit 1
python3 - <<'CHECK'
import ast
import pathlib

for path in sorted(pathlib.Path('.').rglob('*.py')):
    ast.parse(path.read_text('utf-8'), str(path))
print('stand-ins compile')
CHECK
