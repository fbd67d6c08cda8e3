#!/bin/bash
# Builds what the cases 6 to 10 start beside the node. Their stand-ins are Python files, of the standard library alone:
# nothing is compiled, and the node is that of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
python3 -m py_compile review/lib-2/*.py review/[0-9]*/case.py
find review -name __pycache__ -prune -exec rm -r {} +
[ -x build/keelflow ] || { echo "build/keelflow is missing: run the deploy file's build first"; exit 1; }
