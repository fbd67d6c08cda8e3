"""The decision module holds at most 558 statements, however they are laid out, and names its interface."""
import re
import sys

text = open(sys.argv[1], encoding="utf-8").read()
code = re.sub(r'//[^\n]*|"(\\.|[^"\\])*"', "", text)
statements = code.count(";") + code.count("{")
print(f"{statements} statements")
assert "scheduler/dispatcher.h" in text[:1000], "the top does not name the interface"
sys.exit(statements > 558)
