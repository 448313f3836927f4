"""Event loop whose time jumps to the next timer."""

import asyncio


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers at once, in their order, in a time of its own."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 0.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    def _run_once(self) -> None:
        ready = self._ready  # type: ignore[attr-defined]
        scheduled = self._scheduled  # type: ignore[attr-defined]
        if not ready and scheduled:
            self._now_s = max(self._now_s, scheduled[0]._when)
        super()._run_once()  # type: ignore[misc]
