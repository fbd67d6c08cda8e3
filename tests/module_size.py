"""The decision module holds at most 650 non-blank lines, none over 110 characters, and names its interface."""
import sys

lines = open(sys.argv[1], encoding="utf-8").read().split("\n")
used = [line for line in lines if line.strip()]
long = [n for n, line in enumerate(lines, 1) if len(line) > 110]
print(f"{len(used)} non-blank lines, over 110 characters: {long}")
assert "include/reedlb/dispatcher.h" in "".join(lines[:5]), "the top does not name the interface"
sys.exit(len(used) > 650 or bool(long))
