"""Tasks of the stand-in worker, in virtual time."""

from typing import Any

import pytest

from demo.standin.tasks import TaskTable
from sardinespool.messages.tasks import HeartbeatReply
from sardinespool.messages.tasks import TaskDirective

LEASE_MS = 6_000


class Worker:
    """A task table with its events and a clock that starts at 0."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.table = TaskTable(
            lambda event, **values: self.events.append((event, values))
        )

    def reply(
        self,
        now_ms: int,
        action: Any = None,
        attempt: int = 1,
        acknowledged: tuple[str, ...] = (),
        **fields: Any,
    ) -> None:
        directives: tuple[TaskDirective, ...] = ()
        if action is not None:
            directives = (
                TaskDirective(
                    task_id="j/0",
                    attempt=attempt,
                    action=action,
                    **{"start_deadline_unix_ms": 2_500, **fields},
                ),
            )
        self.table.apply(
            HeartbeatReply(
                lease_deadline_unix_ms=now_ms + LEASE_MS,
                directives=directives,
                acknowledged_tasks=acknowledged,
            ),
            now_ms,
        )

    def names(self) -> list[str]:
        return [event for event, _ in self.events]

    def states(self) -> list[str]:
        return [report.state for report in self.table.reports()]


PAYLOAD = '{"work_ms": 3000}'


def test_task_completes_and_is_reported_until_acknowledged() -> None:
    """Guards against a lost completion and against a second run."""
    worker = Worker()
    worker.reply(0, "run", payload=PAYLOAD)
    worker.reply(1_000, "run")
    assert worker.states() == ["running"]
    worker.table.advance(3_000)
    for _ in range(2):
        assert worker.states() == ["completed"]
        worker.reply(3_000, "run")
    worker.reply(3_100, acknowledged=("j/0",))
    worker.reply(3_200, "run", start_deadline_unix_ms=9_000)
    assert worker.table.idle
    assert worker.names() == ["start", "completed"]


def test_eviction_keeps_progress() -> None:
    """Guards against a second attempt that repeats or skips work."""
    worker = Worker()
    worker.reply(0, "run", payload=PAYLOAD, throttle_share=0.5)
    worker.reply(1_000, "checkpoint")
    (report,) = worker.table.reports()
    assert (report.state, report.checkpoint) == ("checkpointed", "500")
    worker.reply(2_000, "stop")
    (report,) = worker.table.reports()
    assert (report.state, report.checkpoint) == ("stopped", "1000")
    worker.reply(
        2_000,
        "run",
        attempt=2,
        acknowledged=("j/0",),
        payload=PAYLOAD,
        checkpoint="1000",
    )
    worker.table.advance(3_999)
    assert worker.states() == ["running"]
    worker.table.advance(4_000)
    assert worker.states() == ["completed"]


@pytest.mark.parametrize(
    ("now_ms", "expected"), [(2_500, "start"), (2_501, "refused")]
)
def test_start_deadline(now_ms: int, expected: str) -> None:
    """Guards against a start after the failure domain was taken out."""
    worker = Worker()
    worker.reply(now_ms, "run")
    assert worker.names() == [expected]


def test_stop_of_an_attempt_that_never_ran() -> None:
    """Guards against a start that a delayed directive causes."""
    worker = Worker()
    worker.reply(0, "stop")
    worker.reply(10, "run")
    assert worker.names() == []
    worker.reply(20, "run", attempt=2, payload=PAYLOAD)
    worker.reply(30, "stop", attempt=1)
    assert worker.names() == ["start"]


def test_tasks_stop_when_the_lease_ends() -> None:
    """Guards against work after a lease's end, also after a freeze."""
    worker = Worker()
    worker.reply(0, "run", payload='{"work_ms": 60000}')
    worker.table.advance(LEASE_MS - 1)
    assert worker.states() == ["running"]
    worker.table.advance(90_000)
    (report,) = worker.table.reports()
    assert (report.state, report.checkpoint) == ("stopped", str(LEASE_MS))


@pytest.mark.parametrize(
    ("payload", "end"),
    [('{"fail_after_ms": 200}', "failed"), ("{", "failed"), ("", "completed")],
)
def test_payloads(payload: str, end: str) -> None:
    """Guards against a payload that stops the worker."""
    worker = Worker()
    worker.reply(0, "run", payload=payload)
    worker.table.advance(1_000)
    assert worker.names() == ["start", end]
