"""Streams that track sent bytes and the state of the peer."""

import socket
import ssl
from typing import Any

from tornado.iostream import BaseIOStream
from tornado.iostream import IOStream
from tornado.iostream import SSLIOStream


class CountingStream(IOStream):
    """TCP stream that counts the bytes accepted by the kernel.

    Attributes
    ----------
    sent_bytes : int
        Number of bytes written to the socket.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.sent_bytes = 0

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket; see `tornado.iostream.BaseIOStream`."""
        # The superclass releases `data`, so its length is not available here.
        count = super().write_to_fd(data)
        self.sent_bytes += count
        return count

    def peer_state(self) -> str:
        """Check the receive buffer of the socket without consuming data.

        Returns
        -------
        str
            ``idle`` if there is nothing to read, ``unexpected data`` if
            bytes arrived, ``closed`` if the peer closed or reset the
            connection.
        """
        return _peek(self.socket)


class CountingTlsStream(SSLIOStream):
    """TLS stream in which each write attempt counts as one sent byte.

    The TLS library may have sent part of a record when it reports an error,
    so the exact number of sent bytes is unknown.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.sent_bytes = 0

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket; see `tornado.iostream.BaseIOStream`."""
        self.sent_bytes += 1
        return super().write_to_fd(data)

    def peer_state(self) -> str:
        """Return ``idle``: a TLS stream can't be peeked at."""
        return "quiet"


def is_closed_by_peer(stream: BaseIOStream) -> bool:
    """Return whether the peer has closed a connection.

    A TLS stream can't be peeked at; it is closed once that was read.
    """
    return stream.closed() or (
        isinstance(stream, IOStream)
        and not isinstance(stream, SSLIOStream)
        and _peek(stream.socket) == "closed"
    )


def _peek(connection: socket.socket) -> str:
    try:
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        data = connection.recv(1, flags)
    except BlockingIOError:
        return "quiet"
    except OSError:
        return "closed"
    return "data" if data else "closed"


HttpStream = CountingStream | CountingTlsStream


async def open_stream(
    host: str,
    port: int,
    tls_context: ssl.SSLContext | None,
    read_buffer_bytes: int,
) -> HttpStream:
    """Connect to an address; raise `OSError` if that fails.

    Parameters
    ----------
    host, port : str, int
        IP address and port of the server.
    tls_context : ssl.SSLContext or None
        Client-side TLS context; None for plain TCP.
    read_buffer_bytes : int
        Maximum size of the read buffer.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    unconnected_socket = socket.socket(family, socket.SOCK_STREAM)
    stream: HttpStream
    if tls_context is None:
        stream = CountingStream(
            unconnected_socket, max_buffer_size=read_buffer_bytes
        )
    else:
        stream = CountingTlsStream(
            unconnected_socket,
            ssl_options=tls_context,
            max_buffer_size=read_buffer_bytes,
        )
    try:
        await stream.connect((host, port), server_hostname=host)
    except BaseException:
        stream.close()
        raise
    return stream
