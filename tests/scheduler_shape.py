"""Checks that each scheduler file begins with a doc comment and has at most 350 lines, the dispatcher 200."""
import pathlib
import sys

MAX_LINES = 350
MAX_DISPATCHER_LINES = 200

violations = []
files = sorted(path for path in pathlib.Path(sys.argv[1]).iterdir() if path.suffix in (".h", ".cpp"))
for path in files:
    lines = path.read_text(encoding="utf-8").split("\n")
    limit = MAX_DISPATCHER_LINES if path.name == "dispatcher.cpp" else MAX_LINES
    if len(lines) - 1 > limit:
        violations.append(f"{path.name}: {len(lines) - 1} lines, {limit} at most")
    if not lines[0].startswith("/// "):
        violations.append(f"{path.name}: no doc comment in its first line")
print("\n".join(violations) or f"{len(files)} files within the limits")
sys.exit(bool(violations) or len(files) < 30)
