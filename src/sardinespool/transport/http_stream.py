"""Streams that tell whether a byte has left, and whether the peer is there."""

import socket
import ssl
from typing import Any

from tornado.iostream import IOStream
from tornado.iostream import SSLIOStream


class CountingStream(IOStream):
    """TCP stream that counts the bytes given to the kernel.

    Attributes
    ----------
    sent_bytes : int
        Bytes that the kernel took.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.sent_bytes = 0

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket; see `tornado.iostream.BaseIOStream`."""
        # The superclass releases `data`, so the count comes from its result.
        count = super().write_to_fd(data)
        self.sent_bytes += count
        return count

    def peer_state(self) -> str:
        """Return what the kernel holds for reading, without reading it.

        Returns
        -------
        str
            ``quiet`` if there is nothing, ``data`` if bytes arrived,
            ``closed`` if the peer closed or reset the connection.
        """
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            data = self.socket.recv(1, flags)
        except BlockingIOError:
            return "quiet"
        except OSError:
            return "closed"
        return "data" if data else "closed"


class CountingTlsStream(SSLIOStream):
    """TLS stream; any attempt to write counts as a byte that left.

    A TLS library can have sent a part of a record when it reports an error,
    so nothing finer is known.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.sent_bytes = 0

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket; see `tornado.iostream.BaseIOStream`."""
        self.sent_bytes += 1
        return super().write_to_fd(data)

    def peer_state(self) -> str:
        """Return ``quiet``: a TLS socket can't be read without taking."""
        return "quiet"


HttpStream = CountingStream | CountingTlsStream


async def open_stream(
    host: str,
    port: int,
    context: ssl.SSLContext | None,
    buffer_bytes: int,
) -> HttpStream:
    """Connect to an address; raise `OSError` if that fails.

    Parameters
    ----------
    host, port : str, int
        IP address and port.
    context : ssl.SSLContext or None
        TLS context of the client side, None for plain TCP.
    buffer_bytes : int
        Largest size of the read buffer.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    raw = socket.socket(family, socket.SOCK_STREAM)
    stream: HttpStream
    if context is None:
        stream = CountingStream(raw, max_buffer_size=buffer_bytes)
    else:
        stream = CountingTlsStream(
            raw, ssl_options=context, max_buffer_size=buffer_bytes
        )
    try:
        await stream.connect((host, port), server_hostname=host)
    except BaseException:
        stream.close()
        raise
    return stream
