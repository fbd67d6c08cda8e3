"""Searches every state of turns.pml, and with each guard taken away: there it must find that the sum is exceeded."""
import os
import subprocess
import sys
import tempfile

MODEL = os.path.join(os.path.dirname(os.path.abspath(__file__)), "turns.pml")
WHOLE = (["-DASKERS=2", "-DMOST=1"], ["-DASKERS=1", "-DMOST=2"])
# Two words on their way let one be doubled; where one asker has to be granted twice, windows are longer.
WITHOUT = {"WAITS": ["-DASKERS=1"], "ENDS": ["-DASKERS=1"], "NUMBERS": ["-DASKERS=1", "-DMOST=2"], "COUNTED_AT_END": ["-DASKERS=1"],
           "BACK_ONCE": ["-DASKERS=1", "-DMOST=2"]}


def search(defines):
    with tempfile.TemporaryDirectory() as folder:
        run = lambda *command: subprocess.run(command, cwd=folder, capture_output=True, text=True)
        made = run("spin", "-a", *defines, MODEL)
        built = run("cc", "-O2", "-w", "-DSAFETY", "-DVECTORSZ=2048", "-DMEMLIM=3000", "-o", "pan", "pan.c")
        if made.returncode or built.returncode:
            sys.exit(made.stdout + made.stderr + built.stderr)
        out = run("./pan", "-m10000").stdout
    whole = "Search not completed" not in out and "max search depth too small" not in out
    errors = [line for line in out.splitlines() if "errors:" in line]
    if not errors or "out of memory" in out:
        sys.exit(out)
    return int(errors[0].split("errors:")[1]), whole, next((l.strip() for l in out.splitlines() if "states, stored" in l), "")


for defines in WHOLE:
    errors, whole, states = search(defines)
    print("whole", *defines, states, "errors", errors)
    if errors or not whole:
        sys.exit(1)
for guard, defines in WITHOUT.items():
    errors, _, states = search(defines + [f"-D{guard}=0"])
    print("without", guard, "errors", errors)
    if not errors:
        sys.exit(f"without {guard} the search finds nothing: it would not notice that it is gone")
