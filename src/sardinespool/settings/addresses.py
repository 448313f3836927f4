"""Addresses of the form ``ip:port``."""

import ipaddress


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` or ``[ipv6]:port``.

    Raises
    ------
    ValueError
        The text is not an IP address with a port from 1 to 65535. Host names
        are rejected, because processes are addressed by IP address only.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        raise ValueError(f"{address!r} has no port")
    if host.startswith("[") and host.endswith("]"):
        host = str(ipaddress.IPv6Address(host[1:-1]))
    else:
        host = str(ipaddress.IPv4Address(host))
    if not 1 <= int(port) <= 65_535:
        raise ValueError(f"Port {port} is not from 1 to 65535.")
    return host, int(port)
