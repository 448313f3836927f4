"""Processes that the demonstration starts and ends, by their id."""

import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Iterable
from types import TracebackType

from demo.settings_files import Process

_LAST_LINES = 5


class ProcessSet:
    """Started processes; leaving the context kills what is left.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the processes' logs.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> "ProcessSet":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for child in self._running.values():
            if child.poll() is None:
                child.kill()
        for child in self._running.values():
            child.wait()
        self._running.clear()

    def start(self, process: Process) -> None:
        """Start a process; its output is appended to ``<name>.log``."""
        with self.log_path(process.name).open("ab") as log:
            self._running[process.name] = subprocess.Popen(
                [sys.executable, *process.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # Ctrl-C reaches the demonstration only, which then ends
                # the processes.
                start_new_session=True,
            )

    def log_path(self, name: str) -> pathlib.Path:
        """Return the log file of a process."""
        return self._folder / f"{name}.log"

    def ended(self) -> dict[str, int]:
        """Return the exit codes of processes that ended by themselves."""
        codes = {name: c.poll() for name, c in self._running.items()}
        return {name: code for name, code in codes.items() if code is not None}

    def kill(self, name: str) -> None:
        """End a process with SIGKILL."""
        child = self._running.pop(name)
        child.send_signal(signal.SIGKILL)
        child.wait()

    def terminate(self, names: Iterable[str]) -> None:
        """Send SIGTERM."""
        for name in names:
            self._running[name].terminate()

    def wait(self, names: Iterable[str], timeout_s: float) -> dict[str, int]:
        """Wait for processes to end and return their exit codes.

        Raises
        ------
        subprocess.TimeoutExpired
            One of them did not end in time.
        """
        deadline = time.monotonic() + timeout_s
        codes = {}
        for name in names:
            left_s = max(0.1, deadline - time.monotonic())
            codes[name] = self._running[name].wait(left_s)
        for name in codes:
            del self._running[name]
        return codes

    def last_lines(self, name: str) -> str:
        """Return the end of a process's log."""
        path = self.log_path(name)
        if not path.exists():
            return ""
        lines = path.read_text(errors="replace").splitlines()
        return "\n".join(lines[-_LAST_LINES:])
