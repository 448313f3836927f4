"""Malformed requests and faults in the code leave the group running."""

from typing import Any

import pytest

from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.errors.transport import ServiceFaultError
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import Refused
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.worker_reports import ReportWorker
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import SubmitWorkflow
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.workflows.table import WorkflowTable
from testing.dispatch.support import make_worker
from testing.store.control_cluster import ControlCluster
from testing.store.control_cluster import make_description
from testing.store.control_cluster import MANIFEST

TOO_LARGE = 2**70


def submission(job_id: str, memory_mb: int = 100) -> SubmitWorkflow:
    return SubmitWorkflow(
        host="h",
        path=f"/q/{job_id}",
        spec=WorkflowSpec(
            payload="text",
            steps=(
                StepSpec(
                    count=1,
                    processors_millicores=1_000,
                    memory_mb=memory_mb,
                ),
            ),
        ),
    )


def fail(*_: Any, **__: Any) -> Any:
    raise ZeroDivisionError


@pytest.mark.parametrize(
    "request_",
    [
        submission("big", memory_mb=TOO_LARGE),
        ReportWorker(
            description=make_description("w", TOO_LARGE),
            sequence=1,
            clock_ms=1,
        ),
        PublishManifest(
            version=TOO_LARGE,
            queues=MANIFEST.queues,
            pools=MANIFEST.pools,
            source=b"{}",
        ),
    ],
    ids=["job", "heartbeat", "manifest"],
)
def test_request_with_huge_number_ends_no_member(request_: Request) -> None:
    """Guards against a leader that ends at a number of more than 64 bits.

    Other requests of the same batch are served.
    """
    cluster = ControlCluster()
    refused = cluster.begin_call(request_)
    other = cluster.begin_call(submission("other"))
    cluster.run(200)
    assert isinstance(refused.exception(), InvalidMessageError)
    assert other.result().state == "queued"  # type: ignore[union-attr]


def test_fault_in_one_request_ends_no_member(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that ends at an unexpected error."""
    cluster = ControlCluster()
    leader = cluster.leader
    monkeypatch.setattr(leader.service, "_submit", fail)
    reply = cluster.begin_call(submission("job"))
    cluster.run(200)
    error = reply.exception()
    assert isinstance(error, ServiceFaultError)
    # The caller is told that the job was not stored.
    assert error.http_status == 503
    monkeypatch.undo()
    assert cluster.leader is leader
    cluster.call(submission("job"))


@pytest.mark.parametrize("method", ["plan", "recorded"])
def test_fault_while_planning_restarts_the_service(
    monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    """Guards against planning that stops for good, or a process that ends.

    The ends and plans that the dispatcher held are lost with the error; it
    reads the state anew.
    """
    cluster = ControlCluster()
    leader = cluster.leader
    begun: list[int] = []
    begin = leader.dispatcher.begin

    def count_begin(token: int, now: Any) -> None:
        begun.append(token)
        begin(token, now)

    monkeypatch.setattr(leader.dispatcher, "begin", count_begin)
    with monkeypatch.context() as patch:
        patch.setattr(leader.dispatcher, method, fail)
        if method == "recorded":
            patch.setattr(
                leader.service,
                "on_applied",
                lambda body, result, now: leader.dispatcher.recorded(
                    body, result, now
                ),
            )
        cluster.call(submission("job"))
        cluster.run(100)
    cluster.run(2_500)
    assert cluster.leader is leader
    assert 1 <= len(begun) <= 3
    assert cluster.call(submission("next")).state == "queued"  # type: ignore[union-attr]


def test_command_that_cannot_be_applied_is_refused_on_each_member(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry that ends each member at every start."""
    cluster = ControlCluster()
    monkeypatch.setattr(ControlMachine, "_accept_workflow", fail)
    reply = cluster.begin_call(submission("job"))
    cluster.run(300)
    refusal = reply.result()
    assert isinstance(refusal, Refused)
    assert refusal.code == InvalidMessageError.code
    monkeypatch.undo()
    cluster.call(submission("next"))
    cluster.run(200)
    for member in cluster.members.values():
        assert list(member.machine.table.workflows) == ["next"]


def test_planning_goes_on_after_a_plan_that_cannot_be_encoded() -> None:
    """Guards against planning that stops for good at one plan.

    The dispatcher proposes its plan again until it is applied.
    """
    cluster = ControlCluster()
    leader = cluster.leader
    run = RunState("j.0.0.0", TOO_LARGE, None, RunPhase.RUNNING, 0)
    leader.dispatcher.end_run(make_worker("w", 1_000), run, "lost", "test")
    cluster.run(200)
    scheduled = SubmitWorkflow(
        host="h",
        path="/q/scheduled",
        spec=WorkflowSpec(
            payload="text", steps=(StepSpec(count=1),), repetitions=1
        ),
    )
    cluster.call(scheduled)
    cluster.run(2_500)
    assert cluster.leader is leader
    # Only a plan opens the first occurrence.
    assert not leader.machine.table.unopened


def test_planning_goes_on_after_a_plan_that_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leader that proposes the same plan forever."""
    cluster = ControlCluster()
    leader = cluster.leader
    cluster.call(
        ReportWorker(
            description=make_description("w", 1), sequence=1, clock_ms=1
        )
    )
    worker = leader.dispatcher.fleet.workers["w"]
    run = RunState("job.0.0.0", 1, None, RunPhase.RUNNING, 0)
    record_runs = WorkflowTable.record_runs

    def refuse_ends(table: WorkflowTable, body: Any, *arguments: Any) -> Any:
        return fail() if body.ends else record_runs(table, body, *arguments)

    monkeypatch.setattr(WorkflowTable, "record_runs", refuse_ends)
    leader.dispatcher.end_run(worker, run, "lost", "test")
    cluster.run(2_500)
    cluster.call(
        SubmitWorkflow(
            host="h",
            path="/q/due",
            spec=WorkflowSpec(
                payload="text",
                steps=submission("due").spec.steps,
                repetitions=1,
                first_due_unix_ms=1,
                interval_ms=1_000,
            ),
        )
    )
    cluster.run(500)
    assert cluster.leader is leader
    assert leader.machine.table.workflows["due"].occurrences
