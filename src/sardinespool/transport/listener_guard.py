"""Keeps the listeners of a process within its memory and descriptors."""

import asyncio
import contextlib
import os
import resource
from collections.abc import Callable

from tornado.iostream import IOStream

from sardinespool.transport.connection_limits import Connection
from sardinespool.transport.connection_limits import ConnectionClass
from sardinespool.transport.connection_limits import ConnectionLimits
from sardinespool.transport.connection_limits import ConnectionState
from sardinespool.transport.guard_settings import BYTE_SHARES
from sardinespool.transport.guard_settings import CONNECTION_SHARES
from sardinespool.transport.guard_settings import GuardSettings
from sardinespool.transport.guard_settings import Refusal
from sardinespool.transport.guarded_stream import GuardedStream
from sardinespool.transport.receive_budget import PROGRESS_BYTES
from sardinespool.transport.receive_budget import ReceiveBudget

CONNECTIONS_MIN = 4
"""One of each class, whatever the process uses otherwise."""
SWEEP_INTERVAL_MS = 500
SWEEP_AGE_MAX_MS = 1_000
"""What one sweep adds to the time of the connections at most. A process that
was suspended must first read what has arrived meanwhile."""
DRAINING_MAX = 64
"""Clients that are sent a refusal while they are still sending."""


class ListenerGuard:
    """Admits connections, and closes some when the process runs short.

    Parameters
    ----------
    settings : GuardSettings
        Limits of the process.
    report : callable
        Receives each refusal.
    """

    def __init__(
        self,
        settings: GuardSettings | None = None,
        report: Callable[[Refusal], None] = lambda _: None,
    ) -> None:
        settings = settings or GuardSettings()
        self._descriptors = settings.file_descriptors
        if self._descriptors is None:
            self._descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
            if self._descriptors == resource.RLIM_INFINITY:
                self._descriptors = 1 << 20
        self._settings = settings
        self._report = report
        self._budget = ReceiveBudget(
            settings.receive_budget_bytes, BYTE_SHARES
        )
        self._limits = ConnectionLimits(
            self._connection_limit(0), CONNECTION_SHARES
        )
        self._streams: dict[Connection, GuardedStream] = {}
        # Classes without room since the last sweep or end of a connection;
        # a scan of 3,900 connections for each newcomer would take 6 ms.
        self._full_classes: set[ConnectionClass] = set()
        self._draining = 0
        self._now_ms = 0
        self._swept_s = 0.0
        self._sweep_handle: asyncio.TimerHandle | None = None

    @property
    def held_bytes(self) -> int:
        """Bytes held for all connections."""
        return self._budget.held_bytes

    @property
    def connections(self) -> int:
        """Number of accepted connections."""
        return self._limits.count

    def accept(
        self,
        stream: IOStream,
        address: str,
        connection_class: ConnectionClass,
        idle_timeout_ms: int,
    ) -> GuardedStream | None:
        """Return the account of a new connection; None if it is refused."""
        connection = Connection(
            connection_class, address, self._now_ms, progress_ms=self._now_ms
        )
        if not self._make_room_for(connection):
            self._report(_refusal("connections", connection))
            return None
        self._limits.add(connection)
        guarded = GuardedStream(self, stream, connection, idle_timeout_ms)
        self._streams[connection] = guarded
        if self._sweep_handle is None:
            loop = asyncio.get_running_loop()
            self._swept_s = loop.time()
            self._schedule_sweep(loop)
        return guarded

    def add_received(self, guarded: GuardedStream, count: int) -> None:
        """Account for bytes that were read."""
        connection = guarded.connection
        state = connection.state
        if state is ConnectionState.DRAINING:
            return
        if state is ConnectionState.IDLE:
            connection.state = ConnectionState.RECEIVING
            connection.since_ms = connection.progress_ms = self._now_ms
            connection.received_bytes = 0
        before = connection.received_bytes
        connection.received_bytes = before + count
        if before // PROGRESS_BYTES != (before + count) // PROGRESS_BYTES:
            connection.progress_ms = self._now_ms
        self.change(guarded, count)

    def change(self, guarded: GuardedStream, change_bytes: int) -> bool:
        """Change what is held, and give up some if it is too much.

        Returns
        -------
        bool
            False if this connection itself is given up.
        """
        connection = guarded.connection
        if not self._budget.change(connection, change_bytes):
            return True
        kept = True
        for victim in self._budget.victims_for(
            connection, self._limits.connections
        ):
            if victim is connection:
                # Its stream may be in the middle of a read.
                kept = False
                asyncio.get_running_loop().call_soon(
                    self._give_up, victim, "memory", True
                )
            else:
                self._give_up(victim, "memory", drain=True)
        return kept

    def set_state(
        self, guarded: GuardedStream, state: ConnectionState
    ) -> None:
        """Change the state of a connection."""
        connection = guarded.connection
        self._draining += (state is ConnectionState.DRAINING) - (
            connection.state is ConnectionState.DRAINING
        )
        connection.state = state
        connection.since_ms = connection.progress_ms = self._now_ms
        if state is not ConnectionState.RUNNING:
            connection.received_bytes = 0

    def promote(
        self, guarded: GuardedStream, connection_class: ConnectionClass
    ) -> None:
        """Change the class of a connection."""
        connection = guarded.connection
        held_bytes = connection.held_bytes
        self._budget.release(connection)
        self._limits.promote(connection, connection_class)
        self._budget.change(connection, held_bytes)

    def remove(self, guarded: GuardedStream) -> None:
        """Forget a connection that has ended."""
        connection = guarded.connection
        self._limits.remove(connection)
        self._full_classes.clear()
        self._streams.pop(connection, None)
        # A request in progress holds its memory until it is completed.
        if connection.state is not ConnectionState.RUNNING:
            if connection.state is ConnectionState.DRAINING:
                self.set_state(guarded, ConnectionState.IDLE)
            self._budget.release(connection)

    def _make_room_for(self, newcomer: Connection) -> bool:
        if newcomer.connection_class in self._full_classes:
            return False
        victims = self._limits.victims_for(newcomer)
        if newcomer in victims:
            self._full_classes.add(newcomer.connection_class)
            return False
        # A burst may have sent requests on all connections that are idle.
        for force in (False, True):
            count = self._limits.count
            for victim in victims:
                self._give_up(victim, "connections", drain=False, force=force)
                if force and self._limits.count < count:
                    break
            if not victims or self._limits.count < count:
                return True
        return False

    def _give_up(
        self,
        victim: Connection,
        reason: str,
        drain: bool,
        force: bool = False,
    ) -> None:
        guarded = self._streams.get(victim)
        if guarded is None or victim.state is ConnectionState.RUNNING:
            return
        if (
            victim.state is ConnectionState.IDLE
            and not force
            and reason != "memory"
            and guarded.has_arrived()
        ):
            return
        if victim.state is ConnectionState.DRAINING and reason == "memory":
            # It holds nothing since it was given up by an earlier read.
            return
        if victim.state is not ConnectionState.IDLE or reason != "deadline":
            self._report(_refusal(reason, victim))
        if victim.state is ConnectionState.RECEIVING:
            status = 408 if reason == "deadline" else 503
            guarded.refuse(status, drain and self._draining < DRAINING_MAX)
        else:
            guarded.stream.close()
        if guarded.stream.closed():
            guarded.discard_received()
            guarded.close()

    def _schedule_sweep(self, loop: asyncio.AbstractEventLoop) -> None:
        self._sweep_handle = loop.call_later(
            SWEEP_INTERVAL_MS / 1000, self._sweep, loop
        )

    def _sweep(self, loop: asyncio.AbstractEventLoop) -> None:
        elapsed_ms = int((loop.time() - self._swept_s) * 1_000)
        self._swept_s = loop.time()
        self._now_ms += min(elapsed_ms, SWEEP_AGE_MAX_MS)
        self._full_classes.clear()
        deadlines = self._settings.deadlines
        for connection, guarded in list(self._streams.items()):
            if deadlines.is_overdue(
                connection, self._now_ms, guarded.idle_timeout_ms
            ):
                self._give_up(connection, "deadline", drain=False)
        self._yield_to_own_connections()
        if self._streams:
            self._schedule_sweep(loop)
        else:
            # An idle process isn't woken.
            self._sweep_handle = None

    def _connection_limit(self, used_descriptors: int) -> int:
        """Return the limit if so many descriptors are used otherwise."""
        assert self._descriptors is not None
        limit = self._descriptors - max(
            used_descriptors, self._settings.reserved_descriptors
        )
        connections_max = self._settings.connections_max
        if connections_max is not None:
            limit = min(limit, connections_max)
        return max(CONNECTIONS_MIN, limit)

    def _yield_to_own_connections(self) -> None:
        """Leave the descriptors that the process itself has opened.

        A new leader opens two connections to each worker.
        """
        with contextlib.suppress(OSError):
            used = len(os.listdir("/proc/self/fd")) - self._limits.count
            self._limits.set_limit(self._connection_limit(used))
        for victim in self._limits.surplus():
            self._give_up(victim, "connections", drain=False)


def _refusal(reason: str, connection: Connection) -> Refusal:
    return Refusal(
        reason,
        connection.connection_class,
        connection.address,
        connection.state,
        connection.received_bytes,
    )
