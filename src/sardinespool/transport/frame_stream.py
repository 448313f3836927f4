"""Length-prefixed frames over a tornado stream."""

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

_LENGTH = struct.Struct(">I")
WRITE_BUFFER_BYTES_MAX = 16 * 1_048_576


class FrameStream:
    """Reads and writes frames on one connection.

    Parameters
    ----------
    stream : tornado.iostream.IOStream
        Connected stream, owned by this object.
    """

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._unsent_bytes = 0
        stream.set_nodelay(True)

    async def read(self) -> Frame:
        """Return the next frame.

        Raises
        ------
        ConnectionLostError
            The connection ended.
        FrameError
            The frame is too large or malformed; the connection is closed.
        """
        try:
            prefix = await self._stream.read_bytes(_LENGTH.size)
            (length,) = _LENGTH.unpack(prefix)
            if length > FRAME_BYTES_MAX:
                raise FrameError("The frame is too large.", bytes=length)
            return decode_frame(await self._stream.read_bytes(length))
        except StreamClosedError as error:
            raise ConnectionLostError("The connection ended.") from error
        except FrameError:
            self.close()
            raise

    def write(self, frame: Frame) -> None:
        """Queue a frame for sending.

        A peer that doesn't read costs `WRITE_BUFFER_BYTES_MAX` at most; the
        connection is closed beyond that.

        Raises
        ------
        ConnectionLostError
            The connection ended or its buffer is full.
        """
        data = encode_frame(frame)
        if len(data) > FRAME_BYTES_MAX:
            raise FrameError("The frame is too large.", bytes=len(data))
        if self._unsent_bytes + len(data) > WRITE_BUFFER_BYTES_MAX:
            self.close()
            raise ConnectionLostError("The peer does not read.")
        try:
            future = self._stream.write(_LENGTH.pack(len(data)) + data)
        except StreamClosedError as error:
            raise ConnectionLostError("The connection ended.") from error
        self._unsent_bytes += len(data)
        size = len(data)

        def sent(done: asyncio.Future[None]) -> None:
            self._unsent_bytes -= size
            # Marks the exception as retrieved; the reader reports the loss.
            done.exception()

        future.add_done_callback(sent)

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()

    def closed(self) -> bool:
        """Return whether the connection has ended."""
        return bool(self._stream.closed())
