#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They are plain Python of the standard
# library and need no build beyond this; nothing is installed.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib
for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
    print('checked', path)
P
