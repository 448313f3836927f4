"""Tests of signals that arrive while a process starts."""

import os
import pathlib
import signal
import subprocess
import sys

import pytest

from sardinespool.platform.main import EXIT_FAILED
from sardinespool.platform.settings import SETTINGS_VARIABLE
from testing.platform.front_subprocess import RUN_SCRIPT


@pytest.mark.parametrize("role", ["front", "core"])
def test_reload_during_the_start_does_not_end_the_process(
    tmp_path: pathlib.Path, role: str
) -> None:
    """Guards against a death by SIGHUP before its handler is installed."""
    path = tmp_path / "settings.yaml"
    os.mkfifo(path)
    with subprocess.Popen(
        [sys.executable, str(RUN_SCRIPT), role],
        env={**os.environ, SETTINGS_VARIABLE: str(path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    ) as process:
        # Opens once the process reads its settings.
        with path.open("w") as settings:
            process.send_signal(signal.SIGHUP)
            settings.write("invalid")
        assert process.wait() == EXIT_FAILED
