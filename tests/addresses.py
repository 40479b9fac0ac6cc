"""Loopback addresses that concurrent processes of tests do not share."""

import os
import socket

from pimentoscale.settings import Address

# A loopback address of this process alone.
HOST = f"127.{2 + os.getpid() // 250 % 200}.{os.getpid() % 250}.1"
# Below the range that the system uses for outgoing connections.
PORTS = iter(range(21_000, 29_000))


def find_address() -> Address:
    """Return an address on which nothing listens, and that was not used before."""
    for port in PORTS:
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                # Another program uses the port.
                continue
        return Address(host=HOST, port=port)
    raise RuntimeError("no port is free")
