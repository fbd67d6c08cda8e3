"""Idle clients: COUNT connections that say nothing. One that the node ends is opened again at once."""
import selectors
import socket
import sys
import time


def main(port, count, seconds):
    selector = selectors.DefaultSelector()

    def open_one():
        connection = socket.socket()
        connection.setblocking(False)
        connection.connect_ex(("127.0.0.1", port))
        selector.register(connection, selectors.EVENT_READ)

    until = time.monotonic() + seconds
    for _ in range(count):
        open_one()
    opened = count
    while time.monotonic() < until:
        for key, _ in selector.select(0.1):
            try:
                if key.fileobj.recv(1000):
                    continue
            except OSError:
                pass
            selector.unregister(key.fileobj)
            key.fileobj.close()
            open_one()
            opened += 1
    print(opened)


main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]))
