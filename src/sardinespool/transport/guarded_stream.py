"""Account of one accepted connection."""

import socket
from collections.abc import Callable
from typing import Protocol

from tornado.iostream import IOStream

from sardinespool.transport.connection_limits import Connection
from sardinespool.transport.connection_limits import ConnectionClass
from sardinespool.transport.connection_limits import ConnectionState

RUNNING_OVERHEAD_BYTES = 4_096
"""Decoded request, task and answer of a small request."""
BODY_COPIES = 3
"""A body in progress, its decoded message and the encoded call."""


class StreamAccounts(Protocol):
    """Accounts of all connections of a process."""

    def add_received(self, guarded: "GuardedStream", count: int) -> None:
        """Account for bytes that were read."""

    def change(self, guarded: "GuardedStream", change_bytes: int) -> bool:
        """Change what is held; return False if it is given up."""

    def set_state(
        self, guarded: "GuardedStream", state: ConnectionState
    ) -> None:
        """Change the state of a connection."""

    def promote(
        self, guarded: "GuardedStream", connection_class: ConnectionClass
    ) -> None:
        """Change the class of a connection."""

    def remove(self, guarded: "GuardedStream") -> None:
        """Forget a connection that has ended."""


class GuardedStream:
    """Accounts for one accepted connection.

    Parameters
    ----------
    accounts : StreamAccounts
        Accounts of the process.
    stream : IOStream
        Stream of the connection, not read yet.
    connection : Connection
        State of the connection.
    idle_timeout_ms : int
        Time between requests after which the connection is closed.
    """

    __slots__ = (
        "_closed",
        "_accounts",
        "_read_from_fd",
        "connection",
        "idle_timeout_ms",
        "refuse",
        "stream",
    )

    def __init__(
        self,
        accounts: StreamAccounts,
        stream: IOStream,
        connection: Connection,
        idle_timeout_ms: int,
    ) -> None:
        self._accounts = accounts
        self._closed = False
        self.stream = stream
        self.connection = connection
        self.idle_timeout_ms = idle_timeout_ms
        self.refuse: Callable[[int, bool], None] = lambda _status, _drain: (
            stream.close()
        )
        """Answers with a status; whether to read on until it is sent."""
        # The server creates its streams itself and takes no class for them.
        self._read_from_fd = stream.read_from_fd
        setattr(stream, "read_from_fd", self._read)  # noqa: B010

    def _read(self, buffer: bytearray | memoryview) -> int | None:
        count = self._read_from_fd(buffer)
        if count:
            self._accounts.add_received(self, count)
        return count

    def hold(self, size_bytes: int) -> None:
        """Set the bytes that are held for the connection."""
        change_bytes = size_bytes - self.connection.held_bytes
        self._accounts.change(self, change_bytes)

    def add_overhead(self, size_bytes: int) -> None:
        """Account for objects that were made from received bytes."""
        self._accounts.change(self, size_bytes)

    def set_received(self, size_bytes: int) -> None:
        """Note that a message of this size is complete.

        What is held beyond it (bytes read ahead, calls in progress, unsent
        replies) stays accounted for.
        """
        if self.connection.state is ConnectionState.RECEIVING:
            ahead: int = self.stream._read_buffer_size
            self._accounts.set_state(
                self,
                ConnectionState.RECEIVING if ahead else ConnectionState.IDLE,
            )
        self._accounts.change(self, -size_bytes)

    def start_running(self, body_bytes: int) -> bool:
        """Note that the request is complete and is handled.

        Returns
        -------
        bool
            False if there is no room; the request is then refused.
        """
        if not self._accounts.change(
            self, RUNNING_OVERHEAD_BYTES + (BODY_COPIES - 1) * body_bytes
        ):
            return False
        self._accounts.set_state(self, ConnectionState.RUNNING)
        return True

    def set_answering(self, answer_bytes: int) -> None:
        """Note that the answer is being sent."""
        self._accounts.set_state(self, ConnectionState.ANSWERING)
        self.hold(answer_bytes)

    def set_draining(self) -> None:
        """Note that what still arrives is discarded."""
        self._accounts.set_state(self, ConnectionState.DRAINING)
        self.hold(0)

    def set_idle(self) -> None:
        """Note that the request has ended."""
        # Bytes that were read ahead belong to the next request.
        ahead_bytes: int = self.stream._read_buffer_size
        state = ConnectionState.IDLE
        if ahead_bytes and not self._closed:
            state = ConnectionState.RECEIVING
        self._accounts.set_state(self, state)
        self.hold(0 if self._closed else ahead_bytes)

    def promote(self, connection_class: ConnectionClass) -> None:
        """Set the class of a connection that has proved its identity."""
        self._accounts.promote(self, connection_class)

    def discard_received(self) -> None:
        """Free what was read from a closed connection.

        The stream would keep it until the garbage collector finds the
        reference cycles that hold the stream.
        """
        self.stream._read_buffer = bytearray()
        self.stream._read_buffer_size = 0

    def close(self) -> None:
        """Note that the connection has ended."""
        self._closed = True
        self._accounts.remove(self)

    def has_arrived(self) -> bool:
        """Return whether a request has arrived that was not read yet."""
        try:
            data = self.stream.socket.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except (OSError, ValueError, AttributeError):
            # Nothing to read, closed, or TLS, which can't be peeked.
            return False
        return bool(data)
