"""Outgoing connection to another process, with reconnects."""

import asyncio
import itertools
import ssl

from tornado.iostream import IOStream
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
from sardinespool.transport.frames import FRAME_BYTES_MAX
from sardinespool.transport.frames import FrameKind
from sardinespool.transport.frames import PROTOCOL_VERSION

CONNECT_TIMEOUT_MS = 1_000
CONNECT_REPEAT_MS = 250
"""Interval of further attempts while one is open. The operating system sends
the first packet of a connection again only after 1 s, and on a link that
loses packets a member that lost its disk must rejoin within 4 s."""
RECONNECT_DELAY_MIN_MS = 50
RECONNECT_DELAY_MAX_MS = 1_000
QUEUED_FRAMES_MAX = 1_000
QUEUED_BYTES_MAX = FRAME_BYTES_MAX
KEEPALIVE_INTERVAL_MS = 400
SILENCE_TIMEOUT_MS = 1_200
"""Time without received data after which a connection is closed; 3 keepalives.

A connection can stop delivering data permanently without a TCP reset.
"""

KEEPALIVE = Frame(kind=FrameKind.CALL)
"""Keepalive call without a group, to which the peer replies at once."""


class PeerLink:
    """Keeps one connection to an address and sends calls over it.

    Frames sent while disconnected are queued, up to `QUEUED_FRAMES_MAX` and
    `QUEUED_BYTES_MAX`; beyond that, the oldest are dropped. The link connects
    on first use and reconnects after a failure as soon as frames are queued.
    A queued call whose caller has got an error is never sent, so that the
    error tells whether the call may take effect.

    Parameters
    ----------
    address : str
        ``ip:port`` of the other process.
    hello : Frame
        First frame sent on each connection.
    tls_context : ssl.SSLContext, optional
        Client-side TLS context; None for plain TCP.
    """

    def __init__(
        self, address: str, hello: Frame, tls_context: ssl.SSLContext | None
    ) -> None:
        self._address = address
        self._hello_frame = hello
        self._tls_context = tls_context
        self._tcp_client = TCPClient()
        self._stream: FrameStream | None = None
        self._queued_frames: asyncio.Queue[Frame] = asyncio.Queue()
        self._queued_bytes = 0
        self._pending_replies: dict[int, asyncio.Future[bytes]] = {}
        self._unsent_call_ids: set[int] = set()
        self._call_ids = itertools.count(1)
        self._backing_off = False
        self._last_received_boot_ms = 0
        self._connection_task = asyncio.create_task(self._run_connections())

    def send(self, frame: Frame) -> None:
        """Send a frame, or queue it while disconnected."""
        if self._stream is not None:
            try:
                self._write(self._stream, frame)
                return
            except ConnectionLostError:
                self._stream = None
        self._queued_bytes += len(frame.body)
        self._queued_frames.put_nowait(frame)
        while self._queued_frames.qsize() > 1 and (
            self._queued_frames.qsize() > QUEUED_FRAMES_MAX
            or self._queued_bytes > QUEUED_BYTES_MAX
        ):
            self._take_queued_frame()

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
        UnreachableError
            There is no connection; the call was not sent.
        ConnectionLostError
            The connection was closed before the reply arrived.
        CallTimeoutError
            No reply arrived within `timeout_ms`.
        """
        if self._backing_off:
            # Fail at once, so that the caller tries another member. Waiting
            # for the reconnect would take most of the time until the first
            # commit after the loss of a member.
            raise self._unreachable_error()
        call_id = next(self._call_ids)
        reply: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_replies[call_id] = reply
        self._unsent_call_ids.add(call_id)
        try:
            self.send(
                Frame(
                    kind=FrameKind.CALL,
                    call_id=call_id,
                    group=group,
                    body=body,
                    deadline_unix_ms=deadline_unix_ms,
                )
            )
            async with asyncio.timeout(timeout_ms / 1000):
                return await reply
        except TimeoutError as error:
            if call_id in self._unsent_call_ids:
                raise self._unreachable_error() from error
            raise CallTimeoutError(
                "No reply before the deadline.",
                address=self._address,
            ) from error
        finally:
            self._pending_replies.pop(call_id, None)
            self._unsent_call_ids.discard(call_id)

    async def close(self) -> None:
        """Close the connection and fail the calls in progress."""
        self._connection_task.cancel()
        await asyncio.gather(self._connection_task, return_exceptions=True)
        self._tcp_client.close()

    async def _run_connections(self) -> None:
        delay_ms = RECONNECT_DELAY_MIN_MS
        try:
            while True:
                first_frame = await self._queued_frames.get()
                self._queued_bytes -= len(first_frame.body)
                try:
                    stream = await self._connect()
                    delay_ms = RECONNECT_DELAY_MIN_MS
                    await self._serve_connection(stream, first_frame)
                except (OSError, StreamClosedError, SardinespoolError):
                    self._drop_connection()
                    self._backing_off = True
                    await asyncio.sleep(delay_ms / 1000)
                    self._backing_off = False
                    delay_ms = min(2 * delay_ms, RECONNECT_DELAY_MAX_MS)
                finally:
                    self._drop_connection()
        finally:
            self._drop_connection()

    def _take_queued_frame(self) -> Frame:
        frame = self._queued_frames.get_nowait()
        self._queued_bytes -= len(frame.body)
        return frame

    async def _connect(self) -> FrameStream:
        host, port = split_address(self._address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                stream = await self._connect_repeatedly(host, port)
        except TimeoutError as error:
            raise ConnectionLostError("The connect timed out.") from error
        return FrameStream(stream)

    async def _connect_repeatedly(self, host: str, port: int) -> IOStream:
        """Return the first connection; a failed attempt ends all."""
        attempts: set[asyncio.Task[IOStream]] = set()
        done: set[asyncio.Task[IOStream]] = set()
        try:
            while not done:
                attempts.add(
                    asyncio.create_task(
                        self._tcp_client.connect(
                            host, port, ssl_options=self._tls_context
                        )
                    )
                )
                done, _ = await asyncio.wait(
                    attempts,
                    timeout=CONNECT_REPEAT_MS / 1000,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            first = done.pop()
            attempts.remove(first)
            return first.result()
        finally:
            for attempt in attempts:
                attempt.add_done_callback(_close_connection)
                attempt.cancel()

    async def _serve_connection(
        self, stream: FrameStream, first_frame: Frame
    ) -> None:
        self._stream = stream
        stream.write(self._hello_frame)
        self._write(stream, first_frame)
        while not self._queued_frames.empty():
            self._write(stream, self._take_queued_frame())
        self._last_received_boot_ms = system_clock.now().boot_ms
        keepalive_task = asyncio.create_task(self._send_keepalives(stream))
        try:
            await self._receive_replies(stream)
        finally:
            keepalive_task.cancel()

    def _write(self, stream: FrameStream, frame: Frame) -> None:
        """Write a frame, unless it is a call that no caller waits for."""
        if frame.kind is FrameKind.CALL:
            reply = self._pending_replies.get(frame.call_id)
            if reply is None or reply.done():
                return
        stream.write(frame)
        # Only now, as a closed stream refuses the frame and sends nothing.
        if frame.kind is FrameKind.CALL:
            self._unsent_call_ids.discard(frame.call_id)

    async def _send_keepalives(self, stream: FrameStream) -> None:
        """Send keepalives; close the connection after `SILENCE_TIMEOUT_MS`."""
        while not stream.closed():
            await asyncio.sleep(KEEPALIVE_INTERVAL_MS / 1000)
            silence_ms = (
                system_clock.now().boot_ms - self._last_received_boot_ms
            )
            if silence_ms > SILENCE_TIMEOUT_MS:
                stream.close()
                return
            try:
                stream.write(KEEPALIVE)
            except ConnectionLostError:
                return

    async def _receive_replies(self, stream: FrameStream) -> None:
        while True:
            frame = await stream.read()
            self._last_received_boot_ms = system_clock.now().boot_ms
            reply = self._pending_replies.get(frame.call_id)
            if frame.kind is FrameKind.REPLY and reply is not None:
                if not reply.done():
                    reply.set_result(frame.body)

    def _drop_connection(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        for call_id, reply in self._pending_replies.items():
            if reply.done():
                continue
            if call_id in self._unsent_call_ids:
                reply.set_exception(self._unreachable_error())
            else:
                reply.set_exception(
                    ConnectionLostError(
                        "The connection ended before the reply.",
                        address=self._address,
                    )
                )

    def _unreachable_error(self) -> UnreachableError:
        return UnreachableError(
            "The address can't be reached.", address=self._address
        )


def _close_connection(attempt: asyncio.Task[IOStream]) -> None:
    """Close the connection of an attempt that is not needed, if any."""
    if not attempt.cancelled() and attempt.exception() is None:
        attempt.result().close()


def hello_frame(sender: str, token: str) -> Frame:
    """Return the frame that opens and authenticates a connection."""
    return Frame(
        kind=FrameKind.HELLO,
        sender=sender,
        token=token,
        protocol_version=PROTOCOL_VERSION,
    )
