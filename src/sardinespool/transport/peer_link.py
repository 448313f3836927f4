"""One outgoing connection to another process."""

import asyncio
import itertools
import ssl

from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from sardinespool.errors import SardinespoolError
from sardinespool.errors.transport import CallTimeoutError
from sardinespool.errors.transport import ConnectionLostError
from sardinespool.errors.transport import UnreachableError
from sardinespool.settings.addresses import split_address
from sardinespool.transport import system_clock
from sardinespool.transport.frame_stream import FrameStream
from sardinespool.transport.frames import Frame
from sardinespool.transport.frames import FrameKind
from sardinespool.transport.frames import PROTOCOL_VERSION

CONNECT_TIMEOUT_MS = 1_000
RECONNECT_DELAY_MIN_MS = 50
RECONNECT_DELAY_MAX_MS = 1_000
WAITING_FRAMES_MAX = 1_000
PROBE_INTERVAL_MS = 400
SILENCE_MAX_MS = 1_200
"""Silence after which a connection counts as lost; three probes.

A connection can go silent for good without a reset.
"""

PROBE = Frame(kind=FrameKind.CALL)
"""A call without a group; the other side answers it at once."""


class PeerLink:
    """Keeps one connection to an address and resolves calls over it.

    Frames that are sent while there is no connection wait for it, at most
    `WAITING_FRAMES_MAX`. A link connects on the first use and again after a
    loss while frames wait.

    Parameters
    ----------
    address : str
        ``ip:port`` of the other process.
    hello : Frame
        First frame of each connection.
    context : ssl.SSLContext, optional
        TLS context; None for plain TCP.
    """

    def __init__(
        self, address: str, hello: Frame, context: ssl.SSLContext | None
    ) -> None:
        self._address = address
        self._hello = hello
        self._context = context
        self._client = TCPClient()
        self._stream: FrameStream | None = None
        self._waiting: asyncio.Queue[Frame] = asyncio.Queue(WAITING_FRAMES_MAX)
        self._calls: dict[int, asyncio.Future[bytes]] = {}
        self._call_ids = itertools.count(1)
        self._backing_off = False
        self._heard_boot_ms = 0
        self._task = asyncio.create_task(self._run())

    def send(self, frame: Frame) -> None:
        """Send a frame; drop it if the peer can't be reached for long."""
        if self._stream is not None:
            try:
                self._stream.write(frame)
                return
            except ConnectionLostError:
                self._stream = None
        try:
            self._waiting.put_nowait(frame)
        except asyncio.QueueFull:
            self._waiting.get_nowait()
            self._waiting.put_nowait(frame)

    async def call(
        self,
        group: str,
        body: bytes,
        deadline_unix_ms: int,
        timeout_ms: int,
    ) -> bytes:
        """Send a call and wait for its reply.

        Raises
        ------
        ConnectionLostError
            The connection ended before the reply.
        CallTimeoutError
            No reply came within `timeout_ms`.
        """
        if self._backing_off:
            # Another member may answer; waiting here for the next connect
            # made up most of the time to the first commit after a loss.
            raise UnreachableError(
                "The address can't be reached.", address=self._address
            )
        call_id = next(self._call_ids)
        future: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )
        self._calls[call_id] = future
        self.send(
            Frame(
                kind=FrameKind.CALL,
                call_id=call_id,
                group=group,
                body=body,
                deadline_unix_ms=deadline_unix_ms,
            )
        )
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await future
        except TimeoutError as error:
            raise CallTimeoutError(
                "No reply before the deadline.", address=self._address
            ) from error
        finally:
            self._calls.pop(call_id, None)

    async def close(self) -> None:
        """Close the connection and fail the calls in progress."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._client.close()

    async def _run(self) -> None:
        delay_ms = RECONNECT_DELAY_MIN_MS
        try:
            while True:
                first = await self._waiting.get()
                try:
                    stream = await self._connect()
                    delay_ms = RECONNECT_DELAY_MIN_MS
                    await self._use(stream, first)
                except (OSError, StreamClosedError, SardinespoolError):
                    self._lose_connection()
                    self._backing_off = True
                    await asyncio.sleep(delay_ms / 1000)
                    self._backing_off = False
                    delay_ms = min(2 * delay_ms, RECONNECT_DELAY_MAX_MS)
                finally:
                    self._lose_connection()
        finally:
            self._lose_connection()

    async def _connect(self) -> FrameStream:
        host, port = split_address(self._address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                stream = await self._client.connect(
                    host, port, ssl_options=self._context
                )
        except TimeoutError as error:
            raise ConnectionLostError("The connect timed out.") from error
        return FrameStream(stream)

    async def _use(self, stream: FrameStream, first: Frame) -> None:
        self._stream = stream
        stream.write(self._hello)
        stream.write(first)
        while not self._waiting.empty():
            stream.write(self._waiting.get_nowait())
        self._heard_boot_ms = system_clock.now().boot_ms
        probes = asyncio.create_task(self._probe(stream))
        try:
            await self._read(stream)
        finally:
            probes.cancel()

    async def _probe(self, stream: FrameStream) -> None:
        """Close the connection once the other side is silent for long."""
        while not stream.closed():
            await asyncio.sleep(PROBE_INTERVAL_MS / 1000)
            silence_ms = system_clock.now().boot_ms - self._heard_boot_ms
            if silence_ms > SILENCE_MAX_MS:
                stream.close()
                return
            try:
                stream.write(PROBE)
            except ConnectionLostError:
                return

    async def _read(self, stream: FrameStream) -> None:
        while True:
            frame = await stream.read()
            self._heard_boot_ms = system_clock.now().boot_ms
            future = self._calls.get(frame.call_id)
            if frame.kind is FrameKind.REPLY and future is not None:
                if not future.done():
                    future.set_result(frame.body)

    def _lose_connection(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        for future in self._calls.values():
            if not future.done():
                future.set_exception(
                    ConnectionLostError(
                        "The connection ended before the reply.",
                        address=self._address,
                    )
                )


def hello_frame(sender: str, token: str) -> Frame:
    """Return the first frame of a connection."""
    return Frame(
        kind=FrameKind.HELLO,
        sender=sender,
        token=token,
        protocol_version=PROTOCOL_VERSION,
    )
