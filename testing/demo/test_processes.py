"""Processes and callers of the demonstration."""

import json
import os
import pathlib
from typing import Any

import pytest

from demo.caller import HttpAnswer
from demo.caller import is_seat_answer
from demo.context import Demo
from demo.context import StepFailedError
from demo.processes import ProcessSet
from demo.settings_files import Process


def process(name: str, code: str) -> Process:
    return Process(
        name=name,
        program="test",
        failure_domain="sur",
        address="",
        arguments=("-c", code),
    )


def test_nothing_is_left_running(tmp_path: pathlib.Path) -> None:
    """Guards against processes left behind by a step that fails."""
    waiting = process("waiting", "import signal; signal.pause()")
    with pytest.raises(KeyboardInterrupt), ProcessSet(tmp_path) as processes:
        processes.start(waiting)
        pid = processes._running["waiting"].pid
        os.kill(pid, 0)
        raise KeyboardInterrupt
    with pytest.raises(ProcessLookupError):
        os.kill(pid, 0)


def test_ended_process_fails_the_step(tmp_path: pathlib.Path) -> None:
    """Guards against a wait that hides a crashed program."""
    with ProcessSet(tmp_path) as processes:
        processes.start(process("crashed", "raise SystemExit('no disk')"))
        processes._running["crashed"].wait()
        demo = Demo(*(None,) * 2, processes, *(None,) * 3)  # type: ignore[arg-type]
        with pytest.raises(StepFailedError, match="no disk"):
            demo.wait_for("anything", lambda: None, timeout_s=0)
        assert processes.wait(["crashed"], timeout_s=1) == {"crashed": 1}


@pytest.mark.parametrize(
    ("status", "body", "right"),
    [
        (200, {"course": "a", "seats": 3}, True),
        (200, {"course": "b", "seats": 3}, False),
        (200, {"course": "a"}, False),
        (200, None, False),
        (503, {"course": "a", "seats": 3}, False),
    ],
)
def test_seat_answer(status: int, body: Any, right: bool) -> None:
    """Guards against another request's answer that counts as right."""
    answer = HttpAnswer(status, {}, json.dumps(body).encode()[:99])
    assert is_seat_answer(answer, "a") is right
    cut = HttpAnswer(status, {}, answer.body[:-1])
    assert not is_seat_answer(cut, "a")
