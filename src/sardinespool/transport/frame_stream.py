"""Length-prefixed frames over a Tornado stream."""

import asyncio
import struct

from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError

from sardinespool.errors.transport import ConnectionLostError
from sardinespool.errors.transport import FrameError
from sardinespool.transport.frames import decode_frame
from sardinespool.transport.frames import encode_frame
from sardinespool.transport.frames import Frame
from sardinespool.transport.frames import FRAME_BYTES_MAX
from sardinespool.transport.guarded_stream import GuardedStream

_LENGTH_PREFIX = struct.Struct(">I")
WRITE_BUFFER_BYTES_MAX = 16 * 1_048_576
COPY_BYTES_MAX = 65_536
"""Larger frames are not copied to be sent with their length in one packet."""


class FrameStream:
    """Reads and writes the frames of one connection.

    Parameters
    ----------
    stream : tornado.iostream.IOStream
        Connected stream, owned by this object.
    guarded : GuardedStream, optional
        Account of an accepted connection.
    """

    def __init__(
        self, stream: IOStream, guarded: GuardedStream | None = None
    ) -> None:
        self._guarded = guarded
        self._stream = stream
        self._unsent_bytes = 0
        stream.set_nodelay(True)

    async def read(self, limit_bytes: int = FRAME_BYTES_MAX) -> Frame:
        """Return the next frame.

        Parameters
        ----------
        limit_bytes : int
            Size of the largest frame.

        Raises
        ------
        ConnectionLostError
            The connection was closed.
        FrameError
            The frame is too large or malformed; the connection is closed.
        """
        try:
            prefix = await self._stream.read_bytes(_LENGTH_PREFIX.size)
            (length,) = _LENGTH_PREFIX.unpack(prefix)
            if length > limit_bytes:
                raise FrameError("The frame is too large.", bytes=length)
            data = await self._stream.read_bytes(length)
            if self._guarded is not None:
                self._guarded.set_received(_LENGTH_PREFIX.size + length)
            return decode_frame(data)
        except StreamClosedError as error:
            raise ConnectionLostError("The connection ended.") from error
        except FrameError:
            self.close()
            raise

    def write(self, frame: Frame) -> None:
        """Queue a frame for sending.

        If the peer does not read and `WRITE_BUFFER_BYTES_MAX` would be
        exceeded, the connection is closed.

        Raises
        ------
        ConnectionLostError
            The connection was closed or its write buffer is full.
        FrameError
            The frame exceeds `FRAME_BYTES_MAX`.
        """
        data = encode_frame(frame)
        if len(data) > FRAME_BYTES_MAX:
            raise FrameError("The frame is too large.", bytes=len(data))
        if self._unsent_bytes + len(data) > WRITE_BUFFER_BYTES_MAX:
            self.close()
            raise ConnectionLostError("The peer does not read.")
        prefix = _LENGTH_PREFIX.pack(len(data))
        try:
            if len(data) < COPY_BYTES_MAX:
                write_future = self._stream.write(prefix + data)
            else:
                # Its completion is that of the second write.
                self._stream.write(prefix)
                write_future = self._stream.write(data)
        except StreamClosedError as error:
            raise ConnectionLostError("The connection ended.") from error
        self._unsent_bytes += len(data)
        size_bytes = len(data)
        guarded = self._guarded if self._stream.writing() else None
        if guarded is not None:
            guarded.add_overhead(size_bytes)

        def on_written(written: asyncio.Future[None]) -> None:
            self._unsent_bytes -= size_bytes
            if guarded is not None:
                guarded.add_overhead(-size_bytes)
            # Marks the exception as retrieved; `read` reports the closing.
            written.exception()

        write_future.add_done_callback(on_written)

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()

    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return bool(self._stream.closed())
