"""Order of steps, and the log of congested queues."""

from typing import Any

import msgspec
import pytest

from sardinespool.clock import Instant
from sardinespool.dispatch import congestion_log
from sardinespool.dispatch.congestion_log import CongestionLog
from sardinespool.dispatch.step_priority import congested_queues
from sardinespool.dispatch.step_priority import step_priority
from sardinespool.messages.workflows import StepSpec
from sardinespool.workflows.records import StepRecord
from testing.dispatch.support import make_step
from testing.dispatch.support import QUEUE

# Objective of a job of one step: 100 ms + 1.5 * 1,000 ms.
SPEC = StepSpec(count=4, processors_millicores=1_000, expected_run_ms=1_000)
LONG_RUNNING = msgspec.structs.replace(SPEC, long_running=True)


def waiting(
    job_id: str, age_ms: int, begun: bool = False, spec: StepSpec = SPEC
) -> StepRecord:
    """Return a ready step of a job that is `age_ms` old at 100,000 ms."""
    step = make_step(spec, job_id)
    step.workflow.accepted_unix_ms = 100_000 - age_ms
    step.workflow.begun = begun
    if begun:
        step.waiting.discard(0)
        step.remaining -= 1
    return step


@pytest.mark.parametrize("congested", [False, True])
@pytest.mark.parametrize(
    ("steps", "calm_order", "congested_order"),
    [
        # Jobs that have not begun: by age.
        (
            [waiting("old", 300), waiting("new", 100)],
            ["old", "new"],
            ["new", "old"],
        ),
        # A job that has begun is finished first.
        (
            [waiting("new", 100), waiting("begun", 200, begun=True)],
            ["begun", "new"],
            ["begun", "new"],
        ),
        # Jobs that can no longer end in time come last.
        (
            [waiting("late", 900, begun=True), waiting("new", 100)],
            ["new", "late"],
            ["new", "late"],
        ),
        # Those that would end when the result has no value, after them.
        (
            [waiting("expired", 4_000), waiting("late", 900)],
            ["late", "expired"],
            ["late", "expired"],
        ),
    ],
)
def test_order_of_steps(
    steps: list[StepRecord],
    calm_order: list[str],
    congested_order: list[str],
    congested: bool,
) -> None:
    """Guards against jobs that wait behind others that end late anyway."""
    ordered = sorted(
        steps,
        key=lambda step: step_priority(
            step, QUEUE, 100_000, 0, False, congested
        ),
    )
    names = [step.workflow.job_id for step in ordered]
    assert names == (congested_order if congested else calm_order)


@pytest.mark.parametrize(
    ("step", "congested"),
    [
        (waiting("new", 100), False),
        (waiting("old", 300), True),
        (waiting("begun", 300, begun=True), False),
        (waiting("serving", 300, spec=LONG_RUNNING), False),
    ],
    ids=lambda value: getattr(value, "key", None),
)
def test_queue_is_congested_by_jobs_that_wait_to_begin(
    step: StepRecord, congested: bool
) -> None:
    """Guards against newest-first starts in a queue that is served in time."""
    names = congested_queues([(step, QUEUE)], 100_000)
    assert names == ({QUEUE.name} if congested else set())


def test_congestion_is_logged_at_its_start_and_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a line for each pass of a queue near the limit."""
    lines: list[tuple[str, Any]] = []
    monkeypatch.setattr(
        congestion_log._LOG,
        "info",
        lambda event, **fields: lines.append((event, fields["queue"])),
    )
    log = CongestionLog()
    for now_ms in range(0, 4_000, 100):
        congested = {"q"} if now_ms < 2_000 and now_ms % 200 == 0 else set()
        log.update(congested, {"q": 3}, Instant(now_ms, now_ms))
    assert lines == [
        ("queue congested", "q"),
        ("queue no longer congested", "q"),
    ]
