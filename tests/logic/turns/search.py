"""Searches every state of turns.pml for a violation, and checks that removing any one guard leads to one."""
import os
import subprocess
import sys
import tempfile

MODEL = os.path.join(os.path.dirname(os.path.abspath(__file__)), "turns.pml")
COMPLETE = (["-DBORROWERS=2", "-DMAX_IN_FLIGHT=1"], ["-DBORROWERS=1", "-DMAX_IN_FLIGHT=2"])
# A message can be duplicated only if two fit in the network.
WITHOUT_GUARD = {
    "WAIT_AFTER_RESTART": ["-DBORROWERS=1"],
    "CHECK_LEASE_END": ["-DBORROWERS=1"],
    "CHECK_REQUEST_NUMBERS": ["-DBORROWERS=1", "-DMAX_IN_FLIGHT=2"],
    "COUNT_LEASE_AT_END": ["-DBORROWERS=1"],
    "RETURN_ONCE": ["-DBORROWERS=1", "-DMAX_IN_FLIGHT=2"],
}


def search(defines):
    with tempfile.TemporaryDirectory() as folder:
        run = lambda *command: subprocess.run(command, cwd=folder, capture_output=True, text=True)
        generated = run("spin", "-a", *defines, MODEL)
        built = run("cc", "-O2", "-w", "-DSAFETY", "-DVECTORSZ=2048", "-DMEMLIM=3000", "-o", "pan", "pan.c")
        if generated.returncode or built.returncode:
            sys.exit(generated.stdout + generated.stderr + built.stderr)
        out = run("./pan", "-m10000").stdout
    is_complete = "Search not completed" not in out and "max search depth too small" not in out
    errors = [line for line in out.splitlines() if "errors:" in line]
    if not errors or "out of memory" in out:
        sys.exit(out)
    return int(errors[0].split("errors:")[1]), is_complete, next((line.strip() for line in out.splitlines() if "states, stored" in line), "")


for defines in COMPLETE:
    errors, is_complete, states = search(defines)
    print("complete model", *defines, states, "errors", errors)
    if errors or not is_complete:
        sys.exit(1)
for guard, defines in WITHOUT_GUARD.items():
    errors, _, states = search(defines + [f"-D{guard}=0"])
    print("without", guard, "errors", errors)
    if not errors:
        sys.exit(f"without {guard} the search finds no violation: it does not show that the guard is needed")
