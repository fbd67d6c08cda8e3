"""A bad client: sends requests for a class that does not exist, hundreds at once, the next hundreds
as soon as these are written, and reads whatever is sent to it. It ends after `megabytes` of
requests, when its connection ends, or after `seconds`. Prints what it sent and read.

usage: bad_client.py PORT MEGABYTES SECONDS
"""
import select
import socket
import sys
import time

port, most, end = int(sys.argv[1]), int(sys.argv[2]) * 1000000, time.monotonic() + float(sys.argv[3])
ONE = b"POST /none/1 HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
AT_ONCE = 900
hundreds = memoryview(ONE * AT_ONCE)
peer = socket.create_connection(("127.0.0.1", port))
peer.setblocking(False)
offset = sent = 0
received = 0
why = "its time is over"
while time.monotonic() < end:
    wants_to_send = sent < most
    readable, writable, _ = select.select([peer], [peer] if wants_to_send else [], [], 0.2)
    try:
        if readable:
            piece = peer.recv(1 << 20)
            if not piece:
                why = "the node closed"
                break
            received += len(piece)
        if writable:
            count = peer.send(hundreds[offset:])
            sent += count
            offset = (offset + count) % len(hundreds)
    except BlockingIOError:
        pass
    except OSError as fault:
        why = str(fault)
        break
print("sent %d bytes (%d whole requests), read %d bytes: %s" % (sent, sent // len(ONE), received, why))
