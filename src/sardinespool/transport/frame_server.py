"""Listener for other processes of the deployment."""

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
from sardinespool.groups.refusal import refused
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
    """What a process does with incoming frames."""

    async def handle_call(
        self, group: str, body: bytes, deadline_unix_ms: int
    ) -> bytes:
        """Return the encoded reply to a call."""

    def handle_peer(self, group: str, sender: str, body: bytes) -> None:
        """Take a replication message."""


class FrameServer(TCPServer):
    """Accepts connections that present the cluster token.

    Parameters
    ----------
    token : str
        The cluster token; compared in constant time.
    handler : FrameHandler
        Receives calls and replication messages.
    context : ssl.SSLContext, optional
        TLS context; None for plain TCP.
    """

    def __init__(
        self,
        token: str,
        handler: FrameHandler,
        context: ssl.SSLContext | None,
    ) -> None:
        super().__init__(ssl_options=context)
        self._token = token.encode()
        self._handler = handler
        self._streams: set[FrameStream] = set()

    def start_listening(self, address: str) -> None:
        """Listen on ``ip:port``."""
        host, port = split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.listen(port, host, family=family)

    def close(self) -> None:
        """Stop to listen and close all connections."""
        self.stop()
        for stream in list(self._streams):
            stream.close()

    async def handle_stream(
        self, stream: IOStream, address: tuple[str, int]
    ) -> None:
        """Serve one connection until it ends."""
        frames = FrameStream(stream)
        if len(self._streams) >= CONNECTIONS_MAX:
            frames.close()
            return
        self._streams.add(frames)
        try:
            await self._check_hello(frames)
            await self._serve(frames)
        except (SardinespoolError, TimeoutError, ssl.SSLError, OSError):
            # The peer notices the closed connection and connects again.
            frames.close()
        finally:
            self._streams.discard(frames)

    async def _check_hello(self, frames: FrameStream) -> None:
        async with asyncio.timeout(HELLO_TIMEOUT_MS / 1000):
            frame = await frames.read()
        if (
            frame.kind is not FrameKind.HELLO
            or frame.protocol_version != PROTOCOL_VERSION
            or not hmac.compare_digest(frame.token.encode(), self._token)
        ):
            raise AuthenticationError("The first frame is not accepted.")

    async def _serve(self, frames: FrameStream) -> None:
        calls: set[asyncio.Task[None]] = set()
        try:
            while True:
                frame = await frames.read()
                match frame.kind:
                    case FrameKind.PEER:
                        self._handler.handle_peer(
                            frame.group, frame.sender, frame.body
                        )
                    case FrameKind.CALL if not frame.group:
                        frames.write(Frame(kind=FrameKind.REPLY))
                    case FrameKind.CALL if len(calls) < CALLS_IN_PROGRESS_MAX:
                        task = asyncio.create_task(self._answer(frames, frame))
                        calls.add(task)
                        task.add_done_callback(calls.discard)
                    case _:
                        raise ConnectionLostError("Unexpected frame.")
        finally:
            for task in calls:
                task.cancel()

    async def _answer(self, frames: FrameStream, frame: Frame) -> None:
        body = await self._handler.handle_call(
            frame.group, frame.body, frame.deadline_unix_ms
        )
        reply = Frame(kind=FrameKind.REPLY, call_id=frame.call_id, body=body)
        try:
            try:
                frames.write(reply)
            except FrameError:
                # A caller without an answer would resend the call for ever.
                error = ReplyTooLargeError(
                    "The reply exceeds the frame limit.", bytes=len(body)
                )
                refusal = codec.encode(refused(error))
                frames.write(dataclasses.replace(reply, body=refusal))
        except ConnectionLostError:
            # The caller resends over another connection.
            return
