"""Hostile clients on loopback sockets."""

import contextlib
import dataclasses
import selectors
import socket
import struct
import time
from collections.abc import Iterator

from sardinespool.programs.controller.settings import CONTROL_GROUP
from sardinespool.transport.frames import encode_frame
from sardinespool.transport.frames import Frame
from sardinespool.transport.frames import FrameKind
from sardinespool.transport.frames import PROTOCOL_VERSION
from testing.hostile_clients.processes import Address

DRIVE_LIMIT_S = 30.0
PIECE_BYTES = 4_096
CALLER_BODY_BYTES = 262_144
CONTROL_BODY_BYTES = 4 * 1_048_576
FRAME_BYTES = 8 * 1_048_576 - 1_024


@dataclasses.dataclass(frozen=True)
class Attack:
    """What each client of a crowd sends.

    Attributes
    ----------
    data : bytes
        Bytes to send; the client stays open afterwards.
    clients : int
        Number of clients.
    step_bytes : int
        Bytes that one client sends before the next one has its turn.
    """

    data: bytes
    clients: int
    step_bytes: int = 65_536


def head(path: str, headers: str) -> bytes:
    """Return the head of a POST request."""
    return f"POST {path} HTTP/1.1\r\nHost: a\r\n{headers}\r\n\r\n".encode()


def fixed_length(path: str, size_bytes: int) -> bytes:
    """Return a request with a declared length."""
    return head(path, f"Content-Length: {size_bytes}") + bytes(size_bytes)


def chunked(path: str, size_bytes: int, chunk_bytes: int) -> bytes:
    """Return a request in chunks, without the last one."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, bytes(chunk_bytes))
    count = size_bytes // chunk_bytes
    return head(path, "Transfer-Encoding: chunked") + chunk * count


def frame(content: Frame) -> bytes:
    """Return a frame with its length prefix."""
    data = encode_frame(content)
    return struct.pack(">I", len(data)) + data


HELLO = frame(
    Frame(
        FrameKind.HELLO,
        sender="stranger",
        token=CONTROL_GROUP,
        protocol_version=PROTOCOL_VERSION,
    )
)


class Crowd:
    """Clients that send the same bytes and read nothing.

    Parameters
    ----------
    address : tuple
        Where they connect to.
    attack : Attack
        What they send.
    source_ip : str
        Where they connect from.
    """

    def __init__(
        self, address: Address, attack: Attack, source_ip: str = "127.0.0.1"
    ) -> None:
        self._attack = attack
        self._unsent: dict[socket.socket, memoryview] = {}
        self._sockets: list[socket.socket] = []
        for _ in range(attack.clients):
            client = socket.socket()
            self._sockets.append(client)
            client.bind((source_ip, 0))
            # A small buffer makes sent bytes mean received ones.
            client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
            # Answers that are not read stay with the server.
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            client.settimeout(DRIVE_LIMIT_S)
            with contextlib.suppress(OSError):
                client.connect(address)
                client.setblocking(False)
                self._unsent[client] = memoryview(attack.data)

    def drive(self) -> None:
        """Send until all is sent, closed by the server, or not taken."""
        deadline = time.monotonic() + DRIVE_LIMIT_S
        with selectors.DefaultSelector() as selector:
            for client in self._unsent:
                selector.register(client, selectors.EVENT_WRITE)
            while self._unsent and time.monotonic() < deadline:
                for key, _ in selector.select(1.0):
                    client = key.fileobj
                    assert isinstance(client, socket.socket)
                    if not self._send(client):
                        selector.unregister(client)
                        del self._unsent[client]

    def _send(self, client: socket.socket) -> bool:
        """Return whether the client has more to send."""
        data = self._unsent[client]
        try:
            count = client.send(data[: self._attack.step_bytes])
        except BlockingIOError:
            return True
        except OSError:
            return False
        self._unsent[client] = data[count:]
        return bool(self._unsent[client])

    def close(self) -> None:
        """Close all clients."""
        for client in self._sockets:
            client.close()


@contextlib.contextmanager
def crowd(
    address: Address, attack: Attack, source_ip: str = "127.0.0.1"
) -> Iterator[Crowd]:
    """Drive a crowd, and keep it open in the block."""
    clients = Crowd(address, attack, source_ip)
    try:
        clients.drive()
        yield clients
    finally:
        clients.close()
