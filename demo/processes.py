"""Child processes of the demonstration."""

import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Iterable
from types import TracebackType

from demo.settings_files import ProcessSpec

_LOG_TAIL_LINES = 5


class ProcessSet:
    """Started processes; leaving the context kills those still running.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the log files.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._children: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> "ProcessSet":
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for child in self._children.values():
            if child.poll() is None:
                child.kill()
        for child in self._children.values():
            child.wait()
        self._children.clear()

    def start(self, process: ProcessSpec) -> None:
        """Start a process; its output is appended to ``<name>.log``."""
        with self.log_path(process.name).open("ab") as log:
            self._children[process.name] = subprocess.Popen(
                [sys.executable, *process.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # In a session of its own, the process does not receive the
                # SIGINT of Ctrl-C; the demonstration ends it instead.
                start_new_session=True,
            )

    def log_path(self, name: str) -> pathlib.Path:
        """Return the log file of a process."""
        return self._folder / f"{name}.log"

    def ended(self) -> dict[str, int]:
        """Return the exit codes of processes that exited unexpectedly."""
        exit_codes = {
            name: child.poll() for name, child in self._children.items()
        }
        return {
            name: exit_code
            for name, exit_code in exit_codes.items()
            if exit_code is not None
        }

    def kill(self, name: str) -> None:
        """Send SIGKILL to a process and wait until it has exited."""
        child = self._children.pop(name)
        child.send_signal(signal.SIGKILL)
        child.wait()

    def terminate(self, names: Iterable[str]) -> None:
        """Send SIGTERM to processes."""
        for name in names:
            self._children[name].terminate()

    def wait(self, names: Iterable[str], timeout_s: float) -> dict[str, int]:
        """Wait until processes exit and return their exit codes.

        Raises
        ------
        subprocess.TimeoutExpired
            A process did not exit within `timeout_s`.
        """
        deadline = time.monotonic() + timeout_s
        exit_codes = {}
        for name in names:
            remaining_s = max(0.1, deadline - time.monotonic())
            exit_codes[name] = self._children[name].wait(remaining_s)
        for name in exit_codes:
            del self._children[name]
        return exit_codes

    def log_tail(self, name: str) -> str:
        """Return the last lines of a process's log."""
        path = self.log_path(name)
        if not path.exists():
            return ""
        lines = path.read_text(errors="replace").splitlines()
        return "\n".join(lines[-_LOG_TAIL_LINES:])
