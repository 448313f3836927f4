"""Signal handlers of a program, run in the event loop.

The first SIGTERM or SIGINT starts a graceful shutdown, a second one aborts
it. SIGUSR1 requests a state dump in the log.
"""

import asyncio
import signal
from collections.abc import Callable


class ProgramSignals:
    """Calls handlers for signals in the event loop.

    Parameters
    ----------
    stop : callable
        Called for the first SIGTERM or SIGINT.
    abort : callable
        Called for each further SIGTERM or SIGINT.
    dump : callable
        Called for each SIGUSR1.
    """

    def __init__(
        self,
        stop: Callable[[], object],
        abort: Callable[[], object],
        dump: Callable[[], object],
    ) -> None:
        self._stop = stop
        self._abort = abort
        self._dump = dump
        self._stopping = False

    def install(self, loop: asyncio.AbstractEventLoop) -> None:
        """Register the handlers; must run in the main thread."""
        loop.add_signal_handler(signal.SIGTERM, self.terminate)
        loop.add_signal_handler(signal.SIGINT, self.terminate)
        loop.add_signal_handler(signal.SIGUSR1, self._dump)

    def remove(self, loop: asyncio.AbstractEventLoop) -> None:
        """Remove the handlers."""
        for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1):
            loop.remove_signal_handler(signal_number)

    def terminate(self) -> None:
        """Handle one SIGTERM or SIGINT."""
        if self._stopping:
            self._abort()
            return
        self._stopping = True
        self._stop()
