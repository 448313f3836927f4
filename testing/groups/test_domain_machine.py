"""Invariants of the replicated state of a domain."""

from typing import Any

import pytest

from sardinespool.groups.domain_machine import DomainMachine
from sardinespool.messages.commands import AcceptJobs
from sardinespool.messages.commands import DenyTasks
from sardinespool.messages.commands import ExpireRecords
from sardinespool.messages.commands import JobsRecorded
from sardinespool.messages.commands import RecordWorker
from sardinespool.messages.commands import Refused
from sardinespool.messages.commands import WorkerLost
from sardinespool.messages.jobs import Job
from sardinespool.messages.jobs import ReleaseId
from sardinespool.messages.jobs import TaskTransfer
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.tasks import Accepted
from sardinespool.messages.tasks import EvictTasks
from sardinespool.messages.tasks import FailTasks
from sardinespool.messages.tasks import PlaceTasks
from sardinespool.messages.tasks import ReleaseJob
from sardinespool.messages.tasks import RestrictStarts
from sardinespool.messages.tasks import Throttle
from sardinespool.messages.tasks import ThrottleTasks
from testing.groups.domain_support import DomainGroupHarness
from testing.groups.domain_support import heartbeat
from testing.groups.domain_support import place
from testing.groups.domain_support import report

OUT_OF_SERVICE = {"state": "out-of-service"}
IN_SERVICE = {"state": "in-service"}


@pytest.mark.parametrize(
    ("worker", "configuration", "placement", "code"),
    [
        ({}, {}, place("j/9"), "task-not-found"),
        ({}, {}, place("j/0", "w9"), "worker-unknown"),
        ({}, {}, place("j/0", attempt=1), "attempt-changed"),
        ({"leaving": True}, {}, place("j/0"), "worker-leaving"),
        ({"processors_millicores": 999}, {}, place("j/0"), "worker-full"),
        ({"memory_mb": 255}, {}, place("j/0"), "worker-full"),
        ({"accelerators": 0}, {}, place("j/0"), "worker-full"),
        (
            {},
            {"failure_domains__centro": OUT_OF_SERVICE},
            place("j/0"),
            "out-of-service",
        ),
        ({}, {"teams__ovens": {"memory_mb": 255}}, place("j/0"), "quota"),
        ({}, {"teams__ovens": {"running_tasks": 0}}, place("j/0"), "quota"),
        ({}, {"teams__ovens": {"accelerators": 0}}, place("j/0"), "quota"),
        ({}, {"teams__other": {"running_tasks": 0}}, place("j/0"), ""),
        ({}, {}, place("j/0"), ""),
    ],
)
def test_hard_limits(
    worker: dict[str, Any],
    configuration: dict[str, Any],
    placement: Any,
    code: str,
) -> None:
    """Guards against overcommitment by a scheduler with a stale view (R1)."""
    group = DomainGroupHarness()
    group.add_job(accelerators=1)
    group.configure(1, **configuration)
    group.call(heartbeat(**worker))
    (code_found,) = group.place(placement)
    assert code_found.startswith(code) if code else not code_found


def test_reservation_lasts_until_reported_stop() -> None:
    """Guards against placing onto resources an evicted task still uses."""
    group = DomainGroupHarness()
    group.add_job(task_count=2, processors_millicores=3_000)
    group.run()
    assert group.place(place("j/0", attempt=1)) == ("task-not-queued",)
    group.call(EvictTasks(task_ids=("j/0",), reason="room"))
    assert group.place(place("j/1")) == ("worker-full",)
    group.call(report("j/0", 1, "stopped", checkpoint="c"))
    assert group.place(place("j/1")) == ("",)


def test_reservation_is_at_least_the_declared_size() -> None:
    """Guards against a scheduler that reserves less than declared."""
    group = DomainGroupHarness()
    group.add_job()
    group.run()
    task = group.machine.tasks.tasks["j/0"]
    assert task.reserved_processors_millicores == 1_000
    assert task.reserved_memory_mb == 256


def test_worker_below_its_reservations_gets_no_placement() -> None:
    """Guards against refused heartbeats and placements on a shrunk worker."""
    group = DomainGroupHarness()
    group.add_job(task_count=2)
    group.run()
    group.call(heartbeat(processors_millicores=500, sent_unix_ms=1))
    assert group.state_of("j/0") == "running"
    assert group.place(place("j/1")) == ("worker-full",)


@pytest.mark.parametrize(
    ("reported", "state", "checkpoint"),
    [
        (report("j/0", 1, "running"), "running", ""),
        (report("j/0", 1, "checkpointed", checkpoint="c"), "running", "c"),
        (report("j/0", 1, "stopped", checkpoint="c"), "queued", "c"),
        (report("j/0", 1, "failed", checkpoint="c"), "queued", "c"),
        (report("j/0", 1, "refused"), "queued", ""),
        (report("j/0", 1, "completed"), "completed", ""),
        (report("j/0", 0, "completed"), "placed", ""),
        (report("j/0", 2, "completed"), "placed", ""),
        (heartbeat(incarnation=2), "queued", ""),
    ],
)
def test_task_report_transitions(
    reported: Any, state: str, checkpoint: str
) -> None:
    """Guards against lost transitions and stale attempts (R2, R3)."""
    group = DomainGroupHarness()
    group.add_job()
    group.call(heartbeat())
    group.place(place("j/0"))
    group.apply(RecordWorker(heartbeat=reported))
    task = group.machine.tasks.tasks["j/0"]
    assert (task.state, task.checkpoint) == (state, checkpoint)
    assert task.attempt == 1


@pytest.mark.parametrize(
    "late_command",
    [
        RecordWorker(heartbeat=report("j/0", 1, "stopped", checkpoint="old")),
        RecordWorker(heartbeat=report("j/0", 1, "completed")),
        DenyTasks(worker_id="w1", incarnation=1, attempts=(("j/0", 1),)),
        WorkerLost(worker_id="w1", incarnation=0),
        WorkerLost(worker_id="w1", incarnation=1),
    ],
)
def test_stale_attempt_is_ignored(late_command: Any) -> None:
    """Guards against a delayed message that ends a later attempt (R2)."""
    group = DomainGroupHarness()
    group.add_job()
    group.run()
    group.call(report("j/0", 1, "stopped", checkpoint="c"))
    group.run(worker_id="w2")
    before = group.machine.tasks.tasks["j/0"]
    group.apply(late_command)
    assert group.machine.tasks.tasks["j/0"] == before
    assert before.attempt == 2


def test_reordered_heartbeat_is_ignored() -> None:
    """Guards against a delayed heartbeat that resets `leaving` (R8)."""
    group = DomainGroupHarness()
    group.call(heartbeat(leaving=True, sent_unix_ms=20))
    group.call(heartbeat(leaving=False, sent_unix_ms=10))
    assert group.machine.workers.workers["w1"].leaving
    stale = group.apply(RecordWorker(heartbeat=heartbeat(incarnation=0)))
    assert isinstance(stale, Refused)
    assert stale.code == "stale-worker"


def test_failures_are_counted_for_task_and_worker() -> None:
    """Guards against a failing job that is retried without a limit."""
    group = DomainGroupHarness()
    group.add_job()
    for number, worker_id in enumerate(("w1", "w1", "w2", "w3"), start=1):
        group.run(worker_id=worker_id)
        failed = report("j/0", number, "failed", failure="oven cold")
        values = {"tasks": failed.tasks, "sent_unix_ms": number}
        group.call(heartbeat(worker_id, **values))
    task = group.machine.tasks.tasks["j/0"]
    assert (task.state, task.reason) == ("failed", "oven cold")
    assert task.failed_workers == ("w1", "w2", "w3")
    assert group.machine.workers.workers["w1"].failed_jobs == ("j",)
    group.add_job("k")
    group.run("k/0")
    group.call(report("k/0", 1, "completed"))
    assert not group.machine.workers.workers["w1"].failed_jobs


@pytest.mark.parametrize("action", ["stopped", "completed", "lost", "denied"])
def test_cancelled_task_keeps_its_reservation_until_it_stops(
    action: str,
) -> None:
    """Guards against a cancelled task that is requeued or freed early."""
    group = DomainGroupHarness()
    group.add_job(task_count=2)
    group.run()
    change = group.job_change("cancel", "j")
    group.apply(AcceptJobs(changes=(change,)))
    assert group.state_of("j/0") == "stopping"
    assert group.state_of("j/1") == "cancelled"
    assert group.machine.tasks.reserved_on("w1").running_tasks == 1
    match action:
        case "lost":
            group.apply(WorkerLost(worker_id="w1", incarnation=1))
        case "denied":
            attempts = (("j/0", 1),)
            group.apply(
                DenyTasks(worker_id="w1", incarnation=1, attempts=attempts)
            )
        case _:
            group.call(report("j/0", 1, action))
    expected = "completed" if action == "completed" else "cancelled"
    assert group.state_of("j/0") == expected
    assert group.machine.tasks.reserved_on("w1").running_tasks == 0
    assert group.machine.tasks.finished_jobs == {"j"}


def test_older_configuration_is_ignored() -> None:
    """Guards against a reverted configuration (R10)."""
    group = DomainGroupHarness()
    group.configure(2, services__b={"kind": "batch"})
    group.configure(1)
    group.configure(2)
    assert group.machine.configuration.version == 2
    assert "services/b" in group.machine.configuration.values


@pytest.mark.parametrize(
    ("version", "values", "code"),
    [
        (1, {"failure_domains__centro": IN_SERVICE}, "restricted"),
        (2, {"failure_domains__centro": IN_SERVICE}, ""),
        (2, {"failure_domains__centro": OUT_OF_SERVICE}, "out-of-service"),
        (2, {"failure_domains__norte": IN_SERVICE}, "restricted"),
        (2, {"limits__x": 3}, "restricted"),
    ],
)
def test_restriction_ends_with_a_newer_version(
    version: int, values: dict[str, Any], code: str
) -> None:
    """Guards against a restriction lifted by the wrong version (R4)."""
    group = DomainGroupHarness()
    group.configure(1)
    group.add_job()
    group.call(heartbeat())
    group.call(RestrictStarts(operator="ana"))
    assert group.place(place("j/0")) == ("restricted",)
    group.configure(version, **values)
    assert group.place(place("j/0")) == (code,)


@pytest.mark.parametrize("deadline_offset_ms", [-1, 0])
def test_placement_after_its_permit_deadline_is_refused(
    deadline_offset_ms: int,
) -> None:
    """Guards against a placement committed after its deadline (R4)."""
    group = DomainGroupHarness()
    group.add_job()
    group.call(heartbeat())
    reply = group.apply(
        PlaceTasks(
            scheduler_id="s",
            placements=(place("j/0"),),
            start_deadline_unix_ms=group.now.unix_ms + deadline_offset_ms,
        )
    )
    assert reply.results[0].code == "no-start-permit"  # type: ignore[union-attr]


def test_job_changes_are_applied_in_sequence() -> None:
    """Guards against a lost or repeated job change."""
    group = DomainGroupHarness()
    job = Job(job_id="j", team="ovens")
    first_change = group.job_change("assign", "j", job=job)
    second_change = group.job_change("cancel", "j")
    third_change = group.job_change(
        "assign", "k", job=Job(job_id="k", team="ovens")
    )
    group.apply(AcceptJobs(changes=(second_change, third_change)))
    assert group.machine.known_job_sequence == 0
    group.apply(AcceptJobs(changes=(first_change, third_change)))
    assert group.machine.known_job_sequence == 1
    group.apply(
        AcceptJobs(changes=(first_change, second_change, third_change))
    )
    group.apply(AcceptJobs(changes=(first_change,)))
    assert group.state_of("j/0") == "cancelled"
    assert group.state_of("k/0") == "queued"


def test_finished_job_is_reported_then_removed() -> None:
    """Guards against unreported job ends and unbounded memory."""
    group = DomainGroupHarness()
    group.add_job()
    group.call(FailTasks(task_ids=("j/0",), reason="fits nowhere"))
    group.apply(ExpireRecords(before_unix_ms=group.now.unix_ms + 10**9))
    assert group.service.build_sync_request(group.now).finished_jobs == ("j",)
    group.apply(JobsRecorded(finished_jobs=("j",)))
    assert group.service.build_sync_request(group.now).finished_jobs == ()
    retention_end_unix_ms = group.now.unix_ms + 3_600_000
    group.apply(ExpireRecords(before_unix_ms=retention_end_unix_ms - 1))
    assert group.state_of("j/0") == "failed"
    group.apply(ExpireRecords(before_unix_ms=retention_end_unix_ms))
    assert group.machine.tasks.tasks == {}
    group.add_job()
    assert group.machine.tasks.tasks == {}
    assert group.service.build_sync_request(group.now).finished_jobs == ("j",)
    group.apply(JobsRecorded(finished_jobs=("j",)))
    group.apply(
        ExpireRecords(before_unix_ms=retention_end_unix_ms + 86_400_000)
    )
    assert group.machine.tasks.jobs == {}


def test_release_and_return_of_a_job() -> None:
    """Guards against work that a move repeats or loses (R3)."""
    group = DomainGroupHarness()
    group.add_job(task_count=2)
    group.run()
    assert isinstance(group.call(ReleaseJob(job_id="j")), Refused)
    group.call(report("j/0", 1, "stopped", checkpoint="c"))
    for _ in range(2):
        assert group.call(ReleaseJob(job_id="j")) == Accepted()
    assert group.place(place("j/0", attempt=1)) == ("task-not-queued",)
    (released,) = group.service.build_sync_request(group.now).released_jobs
    transfer = TaskTransfer(
        number=0, attempt=1, state="queued", checkpoint="c"
    )
    assert released.assign_sequence == 1
    assert released.tasks[0] == transfer
    first_release = ReleaseId(job_id="j", assign_sequence=1)
    group.apply(JobsRecorded(released_jobs=(first_release,)))
    assert group.machine.tasks.jobs == {}
    reassignment = group.job_change(
        "assign",
        "j",
        job=Job(job_id="j", team="ovens", task_count=2),
        transfers=(
            transfer,
            TaskTransfer(number=1, attempt=3, state="completed"),
        ),
    )
    group.apply(AcceptJobs(changes=(reassignment,)))
    group.apply(JobsRecorded(released_jobs=(first_release,)))
    assert group.state_of("j/1") == "completed"
    group.run("j/0")
    assert group.machine.tasks.tasks["j/0"].attempt == 2
    group.call(report("j/0", 2, "stopped"))
    assert group.call(ReleaseJob(job_id="j")) == Accepted()
    group.apply(JobsRecorded(released_jobs=(first_release,)))
    assert "j" in group.machine.tasks.released_jobs


def test_snapshot_round_trip_preserves_behaviour() -> None:
    """Guards against replicas that diverge after a snapshot."""
    group = DomainGroupHarness()
    group.configure(3, teams__ovens={"running_tasks": 9}, a__b={"z": 1.5})
    group.add_job(task_count=12, when_domain_lost="move")
    group.add_job("i")
    group.run("j/10")
    group.call(ThrottleTasks(throttles=(Throttle(task_id="j/10", share=9),)))
    begin = BeginRequest(
        key="k",
        body_digest="d",
        entry_id="e",
        attempt_id="a",
        send_deadline_unix_ms=group.now.unix_ms,
    )
    group.call(begin)
    group.call(FailTasks(task_ids=("i/0",), reason="r"))
    group.apply(JobsRecorded(finished_jobs=("i",)))
    group.call(RestrictStarts(operator="ana"))
    data = group.machine.snapshot()
    restored = DomainMachine("unset")
    restored.restore(data)
    assert restored.snapshot() == data
    late_command = ExpireRecords(before_unix_ms=group.now.unix_ms + 10**9)
    for body in (WorkerLost(worker_id="w1", incarnation=1), late_command):
        group.apply(body)
        original, group.machine = group.machine, restored
        group.apply(body)
        group.machine = original
    assert restored.snapshot() == group.machine.snapshot() != data


def test_equal_states_give_equal_bytes() -> None:
    """Guards against snapshots that differ in the order of keys only."""
    one, two = DomainGroupHarness(), DomainGroupHarness()
    one.configure(1, a__x=1, b__y=2)
    two.configure(1, b__y=2, a__x=1)
    assert one.machine.snapshot() == two.machine.snapshot()
