"""Tests the adapter over a pipe: one instance from spawn to a failure report, and truncated or malformed input."""
import struct
import subprocess
import sys

ADAPTER = sys.argv[1]
PROFILE = "\n".join(
    """balancers=1 rank=0 locality=0 dcs=a kinds=x classes.count=1 classes.0.effect=unsafe classes.0.target_ms=500.0
    granularity_ms=2.0 registry_mode=push limits.try_limit=6 safety.drain_grace_ms=500.0 safety.grace_to_answer_ms=8.0
    safety.cold_from=0.12 safety.cold_ms=24000.0 safety.fall_ms=2000.0 safety.fall_multiple=4.0""".split()
).encode()


def record(code, *parts):
    return (bytes([code]) + b"".join(parts)).ljust(48, b"\0")


def batch(now, records, tail=b""):
    body = b"".join(records) + tail
    return struct.pack(">Idi", len(body), now, len(records)) + body


def replies(out):
    frames = []
    while out:
        length, count = struct.unpack(">II", out[:8])
        assert len(out) >= 8 + length, "truncated reply"
        frames.append([out[8 + 24 * i : 32 + 24 * i] for i in range(count)])
        out = out[8 + length :]
    return frames


def run(data):
    return subprocess.run([ADAPTER], input=data, capture_output=True, timeout=60)


instance_record = record(60, struct.pack(">I", 3))
entry = struct.pack(">IBBHBfd", 77, 0, 0, 0, 1, 1.0, 0.0)
spawn = record(90, struct.pack(">QII", 5, 0, len(PROFILE)))
cached = record(50, struct.pack(">BQII", 0, 1, len(PROFILE), 1))
request = record(70, struct.pack(">IBIQddffB", 9, 0, 0, 0, 700.0, 100.0, 1.0, 0.0, 1))
start = batch(1000.0, [instance_record, spawn, cached], PROFILE + entry)

result = run(batch(999.0, []) + start + batch(1001.0, [instance_record, request]) + batch(1700.0, [instance_record, record(110, struct.pack(">Q", 1))]))
assert result.returncode == 0, result.stderr
frames = replies(result.stdout)
assert len(frames) == 4 and frames[0] == [], frames
codes = [[a[0] for a in f] for f in frames]
assert codes[2][:2] == [130, 10], codes  # instance header, attempt to send
assert struct.unpack(">II", frames[2][1][1:9]) == (9, 77)
assert 30 in codes[3], codes  # failure of a request that may have run

for cut in (5, 20, len(start) - 3):
    result = run(start[:cut])
    assert result.returncode != 0 and result.stderr.count(b"\n") == 1 and b"input ends" in result.stderr, (cut, result)
result = run(struct.pack(">Idi", 48, 0.0, 2) + bytes(48))
assert result.returncode != 0 and b"do not fit" in result.stderr, result
result = run(start.replace(b"safety.fall_ms=2000.0", b"safety.fall_ms=oooo.0"))
assert result.returncode != 0 and b"safety.fall_ms" in result.stderr and result.stderr.count(b"\n") == 1, result
result = run(start.replace(b"balancers=1", b"balancers=0"))
assert result.returncode != 0 and b"dispatchers" in result.stderr, result
print("adapter pipe: ok")
