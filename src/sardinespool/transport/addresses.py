"""Addresses of the form ``ip:port``."""


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of a checked ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
