"""Decoding of input that another program wrote."""

from typing import Protocol
from typing import TypeVar

import msgspec

from sardinespool.errors.transport import InvalidMessageError

T_co = TypeVar("T_co", covariant=True)


class Decoder(Protocol[T_co]):
    """Decoder of one type of message, such as `msgspec.json.Decoder`."""

    def decode(self, data: bytes, /) -> T_co:
        """Return the decoded message."""


def decode(decoder: Decoder[T_co], data: bytes) -> T_co:
    """Decode a message.

    Parameters
    ----------
    decoder : Decoder
        Decoder of the expected type.
    data : bytes
        Encoded message; may be anything.

    Raises
    ------
    InvalidMessageError
        The message is malformed, nested too deeply or of another type.
    """
    try:
        return decoder.decode(data)
    except (
        msgspec.MsgspecError,
        OverflowError,
        RecursionError,
        ValueError,
    ) as error:
        raise InvalidMessageError(str(error)) from error
