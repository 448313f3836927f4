"""Selection of free loopback ports."""

import random
import socket

HOST = "127.0.0.1"
# Below the kernel's ephemeral port range: an outgoing connection could
# otherwise occupy the port of a process that is being restarted.
PORT_RANGE_START = 20_000
PORT_RANGE_END = 32_000


def free_addresses(count: int) -> list[str]:
    """Return `count` distinct loopback addresses that are currently free."""
    addresses: list[str] = []
    for port in random.sample(range(PORT_RANGE_START, PORT_RANGE_END), 4_000):
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                listener.bind((HOST, port))
            except OSError:
                continue
        addresses.append(f"{HOST}:{port}")
        if len(addresses) == count:
            return addresses
    raise OSError(f"fewer than {count} loopback ports are free")
