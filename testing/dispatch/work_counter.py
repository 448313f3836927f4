"""Count of the work of a call, which does not depend on the machine."""

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


def count_work(call: Callable[[], object]) -> int:
    """Return how many bytecode instructions of the package a call runs."""
    count = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal count
        if "sardinespool" not in frame.f_code.co_filename:
            return None
        frame.f_trace_lines = False
        frame.f_trace_opcodes = True
        count += 1
        return count_instruction

    def count_instruction(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal count
        count += 1
        return count_instruction

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count
