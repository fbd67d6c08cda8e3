#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs that use its standard library alone.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing: .ci/packages installs it"; exit 1; }
for file in lib/*.py [0-9]*/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
