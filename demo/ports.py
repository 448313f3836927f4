"""Free loopback ports."""

import random
import socket

HOST = "127.0.0.1"
# Below the kernel's range for outgoing connections, which could otherwise
# take the port of a process while it is being replaced.
FIRST_PORT = 20_000
LAST_PORT = 32_000


def free_addresses(count: int) -> list[str]:
    """Return `count` different addresses that are free at present."""
    addresses: list[str] = []
    for port in random.sample(range(FIRST_PORT, LAST_PORT), 4_000):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        addresses.append(f"{HOST}:{port}")
        if len(addresses) == count:
            return addresses
    raise OSError(f"fewer than {count} loopback ports are free")
