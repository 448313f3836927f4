"""Ranges of numbers in received messages.

JSON integers have no limit, but replicated commands hold 64 bits.
"""

from typing import Annotated

import msgspec

_INTEGER_MAX = 2**63 - 1
"""Largest signed integer of 64 bits."""

_TIME_MAX_MS = 253_402_300_799_999
"""Last millisecond of the year 9999; a lease added to it still has 64 bits."""

Integer = Annotated[int, msgspec.Meta(ge=-_INTEGER_MAX, le=_INTEGER_MAX)]
"""Integer that any command can hold."""

Count = Annotated[int, msgspec.Meta(ge=0, le=_INTEGER_MAX)]
"""Number, size or time, which is never negative."""

Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=_TIME_MAX_MS)]
"""Reading of a clock, in milliseconds."""

Measurement = (
    Annotated[int, msgspec.Meta(ge=-_INTEGER_MAX, le=_INTEGER_MAX)]
    | Annotated[float, msgspec.Meta(ge=-_INTEGER_MAX, le=_INTEGER_MAX)]
)
"""Measured quantity, with or without decimals."""
