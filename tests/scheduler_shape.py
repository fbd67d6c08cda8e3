"""The scheduler stays in small files: each begins with a doc comment and has at most 350 lines, the dispatcher 200."""
import pathlib
import sys

MOST_LINES = 350
MOST_DISPATCHER_LINES = 200

faults = []
files = sorted(path for path in pathlib.Path(sys.argv[1]).iterdir() if path.suffix in (".h", ".cpp"))
for path in files:
    lines = path.read_text(encoding="utf-8").split("\n")
    most = MOST_DISPATCHER_LINES if path.name == "dispatcher.cpp" else MOST_LINES
    if len(lines) - 1 > most:
        faults.append(f"{path.name}: {len(lines) - 1} lines, {most} at most")
    if not lines[0].startswith("/// "):
        faults.append(f"{path.name}: no doc comment in its first line")
print("\n".join(faults) or f"{len(files)} files in shape")
sys.exit(bool(faults) or len(files) < 30)
