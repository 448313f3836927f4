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
from sardinespool.transport.frame_stream import FrameStream
from sardinespool.transport.frames import Frame
from sardinespool.transport.frames import FrameKind
from sardinespool.transport.frames import PROTOCOL_VERSION

HELLO_TIMEOUT_MS = 5_000
CONNECTIONS_MAX = 2_000
CALLS_IN_PROGRESS_MAX = 1_000


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
    """

    def __init__(
        self,
        token: str,
        handler: FrameHandler,
        tls_context: ssl.SSLContext | None,
    ) -> None:
        super().__init__(ssl_options=tls_context)
        self._token = token.encode()
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
        frame_stream = FrameStream(stream)
        if len(self._frame_streams) >= CONNECTIONS_MAX:
            frame_stream.close()
            return
        self._frame_streams.add(frame_stream)
        try:
            await self._authenticate(frame_stream)
            await self._serve_frames(frame_stream)
        except (SardinespoolError, TimeoutError, ssl.SSLError, OSError):
            return
        finally:
            # The peer detects the closed connection and reconnects.
            frame_stream.close()
            self._frame_streams.discard(frame_stream)

    async def _authenticate(self, frame_stream: FrameStream) -> None:
        async with asyncio.timeout(HELLO_TIMEOUT_MS / 1000):
            frame = await frame_stream.read()
        if (
            frame.kind is not FrameKind.HELLO
            or frame.protocol_version != PROTOCOL_VERSION
            or not hmac.compare_digest(frame.token.encode(), self._token)
        ):
            raise AuthenticationError("The first frame is not accepted.")

    async def _serve_frames(self, frame_stream: FrameStream) -> None:
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
                            self._reply_to(frame_stream, frame)
                        )
                        call_tasks.add(task)
                        task.add_done_callback(call_tasks.discard)
                    case _:
                        raise ConnectionLostError("Unexpected frame.")
        finally:
            for task in call_tasks:
                task.cancel()

    async def _reply_to(self, frame_stream: FrameStream, frame: Frame) -> None:
        body = await self._handler.handle_call(
            frame.group, frame.body, frame.deadline_unix_ms
        )
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
