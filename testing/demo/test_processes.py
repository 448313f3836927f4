"""Tests of the processes and callers of the demonstration."""

import json
import os
import pathlib
from typing import Any

import pytest

from demo.caller import HttpResponse
from demo.caller import is_seat_response
from demo.context import DemoContext
from demo.context import StepFailedError
from demo.processes import ProcessSet
from demo.settings_files import ProcessSpec


def python_process(name: str, code: str) -> ProcessSpec:
    return ProcessSpec(
        name=name,
        program="test",
        failure_domain="sur",
        address="",
        arguments=("-c", code),
    )


def test_exception_kills_started_processes(tmp_path: pathlib.Path) -> None:
    """Guards against processes that outlive a failed or interrupted step."""
    waiting = python_process("waiting", "import signal; signal.pause()")
    with pytest.raises(KeyboardInterrupt), ProcessSet(tmp_path) as processes:
        processes.start(waiting)
        pid = processes._children["waiting"].pid
        os.kill(pid, 0)
        raise KeyboardInterrupt
    with pytest.raises(ProcessLookupError):
        os.kill(pid, 0)


def test_exited_process_fails_the_step(tmp_path: pathlib.Path) -> None:
    """Guards against a wait that does not report a crashed program."""
    with ProcessSet(tmp_path) as processes:
        processes.start(
            python_process("crashed", "raise SystemExit('no disk')")
        )
        processes._children["crashed"].wait()
        demo = DemoContext(*(None,) * 2, processes, *(None,) * 3)  # type: ignore[arg-type]
        with pytest.raises(StepFailedError, match="no disk"):
            demo.wait_for("anything", lambda: None, timeout_s=0)
        assert processes.wait(["crashed"], timeout_s=1) == {"crashed": 1}


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (200, {"course": "a", "seats": 3}, True),
        (200, {"course": "b", "seats": 3}, False),
        (200, {"course": "a"}, False),
        (200, None, False),
        (503, {"course": "a", "seats": 3}, False),
    ],
)
def test_is_seat_response(status: int, body: Any, expected: bool) -> None:
    """Guards against accepting truncated, failed or mismatched responses."""
    response = HttpResponse(status, {}, json.dumps(body).encode()[:99])
    assert is_seat_response(response, "a") is expected
    truncated = HttpResponse(status, {}, response.body[:-1])
    assert not is_seat_response(truncated, "a")
