"""Ranges of integers in received messages.

JSON integers have no limit, but replicated commands hold 64 bits.
"""

from typing import Annotated

import msgspec

_INTEGER_MAX = 2**63 - 1
"""Largest signed integer of 64 bits."""

Integer = Annotated[int, msgspec.Meta(ge=-_INTEGER_MAX, le=_INTEGER_MAX)]
"""Integer that any command can hold."""

Count = Annotated[int, msgspec.Meta(ge=0, le=_INTEGER_MAX)]
"""Number, size or time, which is never negative."""
