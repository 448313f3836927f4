"""Tests of the log lines from which failed jobs are explained."""

from typing import Any

import pytest

from sardinespool.clock import Instant
from sardinespool.dispatch import run_log
from sardinespool.dispatch.control_service import ControlService
from sardinespool.dispatch.dispatcher import Dispatcher
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.orders import EndedRun
from sardinespool.dispatch.orders import LeaseRenewed
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.run_checks import CHECK_INTERVAL_MS
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages import codec
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import CommandBody
from sardinespool.messages.manifest import PoolSpec
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.worker_reports import PutWorker
from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.messages.workflows import Assignment
from sardinespool.messages.workflows import RecordRuns
from sardinespool.messages.workflows import RunEnd
from sardinespool.messages.workflows import RunOutcome
from sardinespool.messages.workflows import RunsRecorded
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.observability.metrics import Metrics
from testing.dispatch.support import add_running
from testing.dispatch.support import make_worker
from testing.dispatch.support import QUEUE

FIRST = "j.0.0.0"
SECOND = "j.0.0.1"
NOW = Instant(60_000, 1_000_000)

Events = list[tuple[str, dict[str, Any]]]


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> Events:
    """Return the events that are logged from now on."""
    logged: Events = []
    for level in ("info", "warning"):
        monkeypatch.setattr(
            run_log._LOG,
            level,
            lambda event, /, **fields: logged.append((event, fields)),
        )
    return logged


def fields_of(events: Events, event: str) -> list[dict[str, Any]]:
    """Return the fields of each line of an event."""
    return [fields for name, fields in events if name == event]


class Leader:
    """A dispatcher with the state that committed commands leave."""

    def __init__(self, step: StepSpec | None = None) -> None:
        self.machine = ControlMachine()
        self._index = 0
        self.apply(
            PublishManifest(
                version=1,
                queues=(QUEUE,),
                pools=(PoolSpec(name="p"),),
                source=b"{}",
            )
        )
        self.apply(PutWorker(description=make_worker("w", 8_000).description))
        spec = WorkflowSpec(payload="", steps=(step or StepSpec(count=2),))
        self.apply(AcceptWorkflow(job_id="j", queue="q", spec=spec))
        self.dispatcher = Dispatcher(
            self.machine,
            DispatchSettings(),
            lambda worker_id: None,
            DispatchMetrics(Metrics("controller", "a")),
        )
        self.service = ControlService(
            self.machine, self.dispatcher, lambda: pytest.fail("unused")
        )

    def apply(self, body: CommandBody) -> Any:
        """Apply a committed command."""
        self._index += 1
        return self.machine.apply(
            Command(proposed_unix_ms=1_000, body=body), self._index
        )

    def assign(self, task: str, run: int) -> None:
        """Commit an assignment."""
        self.apply(RecordRuns(assignments=(Assignment(task, run, "w", 1),)))

    def end(self, task: str, run: int, outcome: RunOutcome) -> None:
        """Commit the end of a run."""
        self.apply(RecordRuns(ends=(RunEnd(task, run, outcome),)))

    def list_end(self, ended: EndedRun) -> None:
        """Handle a list of the worker with one ended run."""
        self.dispatcher.handle_renewal_result(
            "w",
            1,
            RenewLease(fencing_token=1, acknowledged_end=0, wait_ms=100),
            LeaseRenewed(
                clock_ms=5_000, incarnation=1, running=(), ended=(ended,)
            ),
            NOW.boot_ms - 10,
            NOW,
        )

    def commit(self, command: RecordRuns) -> None:
        """Commit a command that the dispatcher returned."""
        result = self.apply(command)
        self.service.on_applied(decoded(command), result, NOW)


def decoded(command: RecordRuns) -> RecordRuns:
    """Return a command as a member reads it from the log."""
    data = codec.encode(Command(proposed_unix_ms=0, body=command))
    body = codec.decode_command(data).body
    assert isinstance(body, RecordRuns)
    return body


@pytest.mark.parametrize(
    ("step", "earlier_ends", "ends", "expected"),
    [
        pytest.param(
            StepSpec(count=2),
            [RunEnd(FIRST, 1, "failed")],
            (RunEnd(FIRST, 2, "failed"),),
            {"task": FIRST, "run": 2, "failures": 2, "gang": False},
            id="second failed run",
        ),
        pytest.param(
            StepSpec(count=2),
            [RunEnd(SECOND, 1, "failed")],
            (
                RunEnd(FIRST, 1, "failed"),
                RunEnd(SECOND, 2, "failed"),
            ),
            {"task": SECOND, "run": 2, "failures": 2, "gang": False},
            id="first failure of another task before it",
        ),
        pytest.param(
            StepSpec(count=2),
            [RunEnd(FIRST, 1, "stopped"), RunEnd(FIRST, 2, "failed")],
            (RunEnd(FIRST, 3, "failed"),),
            {"task": FIRST, "run": 3, "failures": 2, "gang": False},
            id="stopped run does not count",
        ),
        pytest.param(
            StepSpec(count=2, gang=True),
            [RunEnd(FIRST, 1, "failed"), RunEnd(SECOND, 1, "lost")],
            (RunEnd(SECOND, 2, "failed"),),
            {"task": SECOND, "run": 2, "failures": 2, "gang": True},
            id="members of a gang",
        ),
    ],
)
def test_failed_job_names_the_decisive_run(
    step: StepSpec,
    earlier_ends: list[RunEnd],
    ends: tuple[RunEnd, ...],
    expected: dict[str, object],
    events: Events,
) -> None:
    """Guards against failed jobs whose log does not show which run decided."""
    leader = Leader(step)
    for run in range(1, 4):
        for task in (FIRST, SECOND):
            leader.assign(task, run)
        for end in earlier_ends:
            if end.run == run:
                leader.end(end.task, end.run, end.outcome)
    result = leader.apply(RecordRuns(ends=ends))
    assert result.ended_jobs == ("j",)
    workflow = leader.machine.table.workflows["j"]
    run_log.log_job_ended(leader.machine, workflow, ends, 5)
    assert events == [
        (
            "job ended",
            {
                "job": "j",
                "queue": "q",
                "state": "failed",
                "age_ms": 5,
                "failures_max": QUEUE.failures_max,
                **expected,
            },
        )
    ]


@pytest.mark.parametrize("trial", [True, False])
def test_job_failed_by_a_crash_names_it(trial: bool, events: Events) -> None:
    """Guards against a failed job whose log names no crash and no worker."""
    leader = Leader(StepSpec(count=1))
    runs = 3 if trial else 4
    ends: tuple[RunEnd, ...] = ()
    for run in range(1, runs + 1):
        leader.apply(
            RecordRuns(assignments=(Assignment(FIRST, run, "w", 1, trial),))
        )
        ends = (RunEnd(FIRST, run, "lost", "", f"w#{run}", trial),)
        result = leader.apply(RecordRuns(ends=ends))
    assert result.ended_jobs == ("j",)
    workflow = leader.machine.table.workflows["j"]
    run_log.log_job_ended(leader.machine, workflow, ends, 5)
    (fields,) = fields_of(events, "job ended")
    assert fields["state"] == "failed"
    assert (fields["task"], fields["run"]) == (FIRST, runs)
    assert (fields["crashes"], fields["crash"]) == (runs, f"w#{runs}")
    assert fields["trial"] is trial


def test_completed_job_names_no_decisive_run(events: Events) -> None:
    """Guards against lines that blame a run of a completed job."""
    leader = Leader(StepSpec(count=1))
    leader.assign(FIRST, 1)
    leader.dispatcher.begin(1, NOW)
    leader.list_end(EndedRun(1, FIRST, 1, "done", ""))
    command = leader.dispatcher.plan(NOW)
    assert command is not None
    leader.commit(command)
    (fields,) = fields_of(events, "job ended")
    assert fields["state"] == "completed"
    assert "task" not in fields


@pytest.mark.parametrize(
    ("assigned", "ended", "key", "repeated"),
    [
        pytest.param([1], [], (FIRST, 1), False, id="assigned"),
        pytest.param([1], [(1, "done")], (FIRST, 1), True, id="done"),
        pytest.param([1], [(1, "failed")], (FIRST, 1), True, id="waiting"),
        pytest.param(
            [1, 2], [(1, "failed")], (FIRST, 1), True, id="assigned again"
        ),
        pytest.param(
            [1, 2], [(1, "failed")], (FIRST, 2), False, id="later run"
        ),
        pytest.param([1], [], (FIRST, 2), False, id="run not assigned"),
        pytest.param([1], [], ("other.0.0.0", 1), False, id="unknown job"),
    ],
)
def test_end_that_the_log_has_is_marked_as_repeated(
    assigned: list[int],
    ended: list[tuple[int, RunOutcome]],
    key: tuple[str, int],
    repeated: bool,
    events: Events,
) -> None:
    """Guards against repeated ends that look like further failures."""
    leader = Leader()
    for run in assigned:
        leader.assign(FIRST, run)
        for ended_run, outcome in ended:
            if ended_run == run:
                leader.end(FIRST, run, outcome)
    leader.dispatcher.begin(1, NOW)
    leader.list_end(EndedRun(17, *key, "failed", ""))
    (fields,) = [
        fields
        for fields in fields_of(events, "run ended")
        if (fields["task"], fields["run"]) == key
    ]
    assert fields["repeated"] is repeated
    assert fields["number"] == 17


@pytest.mark.parametrize(
    ("outcome", "ended_before", "level"),
    [
        ("done", False, "info"),
        ("stopped", False, "info"),
        ("failed", False, "warning"),
        ("failed", True, "warning"),
        ("done", True, "warning"),
    ],
)
def test_ends_that_explain_a_failed_job_are_warnings(
    outcome: RunOutcome,
    ended_before: bool,
    level: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against decisive ends that share a limit with all others."""
    leader = Leader()
    leader.assign(FIRST, 1)
    if ended_before:
        leader.end(FIRST, 1, "lost")
    leader.dispatcher.begin(1, NOW)
    logged: list[tuple[str, str]] = []
    for name in ("info", "warning"):
        monkeypatch.setattr(
            run_log._LOG,
            name,
            lambda event, /, name=name, **_: logged.append((event, name)),
        )
    leader.list_end(EndedRun(17, FIRST, 1, outcome, ""))
    assert ("run ended", level) in logged


@pytest.mark.parametrize(
    ("tokens", "served_before"),
    [
        ([1], [False]),
        ([1, 2], [False, False]),
        ([2, 2], [False, True]),
        ([2, 2, 5, 5], [False, True, False, True]),
    ],
)
def test_new_leader_logs_what_it_loaded(
    tokens: list[int], served_before: list[bool], events: Events
) -> None:
    """Guards against a second start in one term that the log hides."""
    leader = Leader()
    leader.assign(FIRST, 1)
    for token in tokens:
        leader.dispatcher.begin(token, NOW)
        leader.dispatcher.end()
    assert fields_of(events, "dispatch begins") == [
        {"token": token, "workers": 1, "runs": 1, "served_before": before}
        for token, before in zip(tokens, served_before, strict=True)
    ]


@pytest.mark.parametrize("has_proposed", [False, True])
def test_result_of_an_unknown_command_is_logged(
    has_proposed: bool, events: Events
) -> None:
    """Guards against commands of an earlier leadership applied in silence."""
    leader = Leader()
    leader.assign(FIRST, 1)
    leader.dispatcher.begin(1, NOW)
    if has_proposed:
        leader.list_end(EndedRun(1, FIRST, 1, "failed", ""))
        assert leader.dispatcher.plan(NOW) is not None
    command = RecordRuns(
        ends=(RunEnd(FIRST, 1, "failed"), RunEnd(SECOND, 1, "lost")),
        assignments=(Assignment(SECOND, 2, "w", 1),),
    )
    leader.service.on_applied(command, RunsRecorded(refused=(0,)), NOW)
    assert fields_of(events, "result of an unknown planning command") == [
        {
            "ends": 2,
            "failed_ends": 1,
            "assignments": 1,
            "refused": 1,
            "ended_jobs": 0,
            "job": "",
            "has_proposed": has_proposed,
        }
    ]


def test_result_of_the_proposed_command_is_not_logged(events: Events) -> None:
    """Guards against warnings about commands that were read from the log."""
    leader = Leader()
    leader.assign(FIRST, 1)
    leader.dispatcher.begin(1, NOW)
    leader.list_end(EndedRun(1, FIRST, 1, "failed", "checkpoint"))
    command = leader.dispatcher.plan(NOW)
    assert command is not None
    leader.commit(command)
    assert not fields_of(events, "result of an unknown planning command")


@pytest.mark.parametrize(
    ("case", "expected"),
    [
        ("loaded", None),
        ("end is not committed", None),
        ("not in the worker's runs", {"count": 2, "known_worker": True}),
        ("unknown worker", {"count": 2, "known_worker": False}),
    ],
)
def test_assigned_runs_that_no_worker_state_contains_are_logged(
    case: str, expected: dict[str, object] | None, events: Events
) -> None:
    """Guards against assigned runs that are never ordered nor ended."""
    leader = Leader()
    dispatcher = leader.dispatcher
    if case != "not in the worker's runs":
        leader.assign(FIRST, 1)
        leader.assign(SECOND, 1)
    dispatcher.begin(1, NOW)
    if case == "unknown worker":
        dispatcher.fleet.workers.clear()
    if case == "not in the worker's runs":
        leader.assign(FIRST, 1)
        leader.assign(SECOND, 1)
    if case == "end is not committed":
        dispatcher.worker_left("w")
    for elapsed_ms in range(0, 2 * CHECK_INTERVAL_MS, 100):
        dispatcher.plan(
            Instant(NOW.boot_ms + elapsed_ms, NOW.unix_ms + elapsed_ms)
        )
    # One check is due in that time; it logs one line for any count.
    lines = fields_of(events, "assigned runs are not tracked")
    if expected is None:
        assert lines == []
    else:
        assert lines == [{"task": FIRST, "run": 1, "worker": "w", **expected}]


@pytest.mark.parametrize(
    ("answered", "last_answer_boot_ms", "expected"),
    [
        pytest.param(True, NOW.boot_ms - 100, [], id="answers"),
        pytest.param(False, NOW.boot_ms - 9_000, [9_000], id="silent"),
        pytest.param(False, -1, [None], id="never-answered"),
    ],
)
def test_runs_on_silent_workers_are_logged(
    events: Events,
    answered: bool,
    last_answer_boot_ms: int,
    expected: list[int | None],
) -> None:
    """Guards against tasks that wait for a lost worker without a trace."""
    worker = make_worker("w", 4_000)
    add_running(worker, StepSpec(count=1), "j")
    worker.answered = answered
    worker.last_answer_boot_ms = last_answer_boot_ms
    idle = make_worker("idle", 4_000)
    count = run_log.log_silent_workers([worker, idle], NOW)
    lines = fields_of(events, "runs on silent workers")
    assert [line["answer_age_ms"] for line in lines] == expected
    assert count == len(expected)
