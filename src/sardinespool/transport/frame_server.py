"""Server for frames from other processes of the deployment."""

import asyncio
import dataclasses
import hmac
import socket
import ssl
from typing import Protocol

from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from sardinespool.errors import SardinespoolError
from sardinespool.errors.transport import AuthenticationError
from sardinespool.errors.transport import ConnectionLostError
from sardinespool.errors.transport import FrameError
from sardinespool.errors.transport import ReplyTooLargeError
from sardinespool.groups.refusal import refusal_from_error
from sardinespool.messages import codec
from sardinespool.settings.addresses import split_address
from sardinespool.transport.connection_limits import ConnectionClass
from sardinespool.transport.frame_stream import FrameStream
from sardinespool.transport.frames import Frame
from sardinespool.transport.frames import FrameKind
from sardinespool.transport.frames import PROTOCOL_VERSION
from sardinespool.transport.guarded_stream import GuardedStream
from sardinespool.transport.listener_guard import ListenerGuard

HELLO_TIMEOUT_MS = 5_000
CONNECTIONS_MAX = 2_000
CALLS_IN_PROGRESS_MAX = 1_000
CALL_OVERHEAD_BYTES = 4_096
"""Task and decoded message of a small call."""
HELLO_BYTES_MAX = 4_096
"""Fits the names and the token; nobody is trusted yet."""
PEER_IDLE_TIMEOUT_MS = 30 * 24 * 3_600_000


class FrameHandler(Protocol):
    """Callbacks for incoming frames."""

    async def handle_call(
        self, group: str, body: bytes, deadline_unix_ms: int
    ) -> bytes:
        """Return the encoded reply to a call."""

    def handle_replication_message(
        self, group: str, sender: str, body: bytes
    ) -> None:
        """Process a replication message."""


class FrameServer(TCPServer):
    """Serves connections that present the cluster token.

    Parameters
    ----------
    token : str
        Cluster token, compared in constant time.
    handler : FrameHandler
        Receives calls and replication messages.
    tls_context : ssl.SSLContext, optional
        Server-side TLS context; None for plain TCP.
    guard : ListenerGuard, optional
        Guard of the process; None for one with the default limits.
    """

    def __init__(
        self,
        token: str,
        handler: FrameHandler,
        tls_context: ssl.SSLContext | None,
        guard: ListenerGuard | None = None,
    ) -> None:
        super().__init__(ssl_options=tls_context)
        self._token = token.encode()
        self._guard = guard or ListenerGuard()
        self._handler = handler
        self._frame_streams: set[FrameStream] = set()

    def start_listening(self, address: str) -> None:
        """Listen on ``ip:port``."""
        host, port = split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.listen(port, host, family=family)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop()
        for stream in list(self._frame_streams):
            stream.close()

    async def handle_stream(
        self, stream: IOStream, address: tuple[str, int]
    ) -> None:
        """Serve one connection until it ends."""
        guarded = self._guard.accept(
            stream,
            str(address[0]),
            ConnectionClass.CONTROL,
            HELLO_TIMEOUT_MS,
        )
        if guarded is None:
            stream.close()
            return
        frame_stream = FrameStream(stream, guarded)
        if len(self._frame_streams) >= CONNECTIONS_MAX:
            frame_stream.close()
            guarded.close()
            return
        self._frame_streams.add(frame_stream)
        try:
            await self._authenticate(frame_stream)
            guarded.promote(ConnectionClass.PEER)
            # Peers hold their connections, also while they are silent.
            guarded.idle_timeout_ms = PEER_IDLE_TIMEOUT_MS
            await self._serve_frames(frame_stream, guarded)
        except (SardinespoolError, TimeoutError, ssl.SSLError, OSError):
            return
        finally:
            # The peer detects the closed connection and reconnects.
            frame_stream.close()
            guarded.close()
            self._frame_streams.discard(frame_stream)

    async def _authenticate(self, frame_stream: FrameStream) -> None:
        async with asyncio.timeout(HELLO_TIMEOUT_MS / 1000):
            frame = await frame_stream.read(HELLO_BYTES_MAX)
        if (
            frame.kind is not FrameKind.HELLO
            or frame.protocol_version != PROTOCOL_VERSION
            or not hmac.compare_digest(frame.token.encode(), self._token)
        ):
            raise AuthenticationError("The first frame is not accepted.")

    async def _serve_frames(
        self, frame_stream: FrameStream, guarded: GuardedStream
    ) -> None:
        call_tasks: set[asyncio.Task[None]] = set()
        try:
            while True:
                frame = await frame_stream.read()
                match frame.kind:
                    case FrameKind.PEER:
                        self._handler.handle_replication_message(
                            frame.group, frame.sender, frame.body
                        )
                    case FrameKind.CALL if not frame.group:
                        frame_stream.write(Frame(kind=FrameKind.REPLY))
                    case FrameKind.CALL if (
                        len(call_tasks) < CALLS_IN_PROGRESS_MAX
                    ):
                        task = asyncio.create_task(
                            self._reply_to(frame_stream, guarded, frame)
                        )
                        call_tasks.add(task)
                        task.add_done_callback(call_tasks.discard)
                    case _:
                        raise ConnectionLostError("Unexpected frame.")
        finally:
            for task in call_tasks:
                task.cancel()

    async def _reply_to(
        self, frame_stream: FrameStream, guarded: GuardedStream, frame: Frame
    ) -> None:
        held_bytes = CALL_OVERHEAD_BYTES + len(frame.body)
        guarded.add_overhead(held_bytes)
        try:
            body = await self._handler.handle_call(
                frame.group, frame.body, frame.deadline_unix_ms
            )
        finally:
            guarded.add_overhead(-held_bytes)
        reply = Frame(kind=FrameKind.REPLY, call_id=frame.call_id, body=body)
        try:
            try:
                frame_stream.write(reply)
            except FrameError:
                # Without a reply, the caller would resend the call forever.
                error = ReplyTooLargeError(
                    "The reply exceeds the frame limit.", bytes=len(body)
                )
                refusal = codec.encode(refusal_from_error(error))
                frame_stream.write(dataclasses.replace(reply, body=refusal))
        except ConnectionLostError:
            # The caller resends the call over another connection.
            return
