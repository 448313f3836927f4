"""Leases, permits, directives and views of a domain group's leader."""

from typing import Any

import msgspec
import pytest

from sardinespool.errors import SardinespoolError
from sardinespool.errors.tasks import FailureDomainMismatchError
from sardinespool.errors.tasks import StaleWorkerError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.groups.interfaces import Proposal
from sardinespool.messages.capacity import EntrySync
from sardinespool.messages.commands import AcceptJobs
from sardinespool.messages.commands import AdoptConfiguration
from sardinespool.messages.commands import DenyTasks
from sardinespool.messages.commands import ExpireRecords
from sardinespool.messages.commands import JobsRecorded
from sardinespool.messages.commands import RecordWorker
from sardinespool.messages.commands import WorkerLost
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.dump import DumpState
from sardinespool.messages.jobs import DomainSync
from sardinespool.messages.jobs import Job
from sardinespool.messages.jobs import ListJobs
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.requests import FinishRequest
from sardinespool.messages.requests import StoredResponse
from sardinespool.messages.tasks import EvictTasks
from sardinespool.messages.tasks import ListTasks
from sardinespool.messages.tasks import ListWorkers
from sardinespool.messages.tasks import PlaceTasks
from sardinespool.messages.tasks import ReleaseJob
from sardinespool.messages.tasks import RestrictStarts
from sardinespool.messages.tasks import SchedulerSync
from sardinespool.messages.tasks import TaskDirective
from sardinespool.messages.tasks import TaskReport
from testing.groups.domain_support import DomainGroupHarness
from testing.groups.domain_support import heartbeat
from testing.groups.domain_support import place
from testing.groups.domain_support import report
from testing.groups.domain_support import START_UNIX_MS

WORKER_LOST = WorkerLost(worker_id="w1", incarnation=1)


def _directives(reply: Any) -> list[tuple[str, int, str]]:
    return [(d.task_id, d.attempt, d.action) for d in reply.directives]


def test_lease_is_extended_without_a_log_write() -> None:
    """Guards against a log entry for every heartbeat."""
    group = DomainGroupHarness()
    assert isinstance(group.service.handle(heartbeat(), group.now), Proposal)
    group.call(heartbeat())
    group.advance(1_000)
    outcome = group.service.handle(heartbeat(), group.now)
    assert isinstance(outcome, ImmediateReply)
    reply: Any = outcome.reply
    assert reply.lease_deadline_unix_ms == group.now.unix_ms + 6_000


@pytest.mark.parametrize(
    ("elapsed_ms", "commands"), [(6_250, []), (6_251, [WORKER_LOST])]
)
@pytest.mark.parametrize("new_leader", [False, True])
def test_expired_lease_requeues_tasks(
    elapsed_ms: int, commands: list[WorkerLost], new_leader: bool
) -> None:
    """Guards against requeueing before the worker stopped its tasks (R2)."""
    group = DomainGroupHarness()
    group.add_job()
    group.run()
    if new_leader:
        group.advance(60_000)
        group.service.step_down()
        group.service.become_leader(group.now)
    group.advance(elapsed_ms)
    assert group.tick() == commands
    assert group.state_of("j/0") == ("queued" if commands else "running")
    assert group.machine.workers.workers["w1"].lost == bool(commands)


def test_pending_loss_does_not_extend_lease() -> None:
    """Guards against a lease renewed after its tasks are requeued (R2)."""
    group = DomainGroupHarness()
    group.add_job()
    group.run()
    group.advance(6_300)
    assert group.service.tick(group.now) == [WORKER_LOST]
    running = report("j/0", 1, "running")
    outcome = group.service.handle(running, group.now)
    assert outcome == Proposal(RecordWorker(heartbeat=running))
    assert group.service.tick(group.now) == []
    group.apply(WORKER_LOST)
    result = group.apply(RecordWorker(heartbeat=running))
    reply: Any = group.service.build_reply(running, result, group.now)
    assert _directives(reply) == [("j/0", 1, "stop")]
    assert not group.machine.workers.workers["w1"].lost
    assert isinstance(group.service.handle(running, group.now), ImmediateReply)


@pytest.mark.parametrize(
    ("sent", "error"),
    [
        (heartbeat(incarnation=0), StaleWorkerError),
        (heartbeat(failure_domain="sur"), FailureDomainMismatchError),
        (ListJobs(), InvalidMessageError),
    ],
)
def test_refused_requests(sent: Any, error: type[SardinespoolError]) -> None:
    """Guards against a replaced worker process that renews its lease."""
    group = DomainGroupHarness()
    group.call(heartbeat())
    with pytest.raises(error):
        group.call(sent)


def test_directives_match_task_state() -> None:
    """Guards against missing or outdated directives to a worker."""
    group = DomainGroupHarness()
    group.add_job()
    group.call(heartbeat())
    group.place(place("j/0"))
    reply: Any = group.call(heartbeat())
    (run,) = reply.directives
    assert (run.action, run.payload) == ("run", "bake")
    assert run.start_deadline_unix_ms == group.now.unix_ms + 2_250
    reply = group.call(report("j/0", 1, "running"))
    assert reply.directives[0] == TaskDirective(
        task_id="j/0", attempt=1, action="run"
    )
    group.call(EvictTasks(task_ids=("j/0",), reason="r"))
    for state, action in (("running", "checkpoint"), ("checkpointed", "stop")):
        reply = group.call(report("j/0", 1, state, checkpoint="c"))
        assert _directives(reply) == [("j/0", 1, action)]
    reply = group.call(report("j/0", 1, "stopped", checkpoint="d"))
    assert (reply.acknowledged_tasks, reply.directives) == (("j/0",), ())
    reply = group.call(report("j/0", 1, "running"))
    assert _directives(reply) == [("j/0", 1, "stop")]
    assert reply.acknowledged_tasks == ()


def test_running_checkpoints_are_rate_limited_and_ordered() -> None:
    """Guards against a log write for every heartbeat and lost progress."""
    group = DomainGroupHarness()
    group.add_job()
    group.run()
    for sent_unix_ms, checkpoint, kept in (
        (20_000, "a", "a"),
        (21_000, "b", "a"),
        (30_000, "c", "c"),
        (15_000, "a", "c"),
    ):
        sent = report("j/0", 1, "running", checkpoint=checkpoint)
        sent = msgspec.structs.replace(sent, sent_unix_ms=sent_unix_ms)
        group.call(sent)
        assert group.machine.tasks.tasks["j/0"].checkpoint == kept


@pytest.mark.parametrize("state", ["placed", "running", "stopping"])
@pytest.mark.parametrize(
    ("sent_offset_ms", "denied"), [(2_500, False), (2_501, True)]
)
def test_unlisted_attempt_is_denied_after_its_start_deadline(
    state: str, sent_offset_ms: int, denied: bool
) -> None:
    """Guards against a lost start and a premature denial (R2)."""
    group = DomainGroupHarness()
    group.add_job()
    group.call(heartbeat())
    group.place(place("j/0"))
    if state != "placed":
        group.call(report("j/0", 1, "running"))
    if state == "stopping":
        group.call(EvictTasks(task_ids=("j/0",), reason="r"))
    group.advance(3_000)
    sent_unix_ms = START_UNIX_MS + sent_offset_ms
    group.call(heartbeat(sent_unix_ms=sent_unix_ms))
    denial = DenyTasks(worker_id="w1", incarnation=1, attempts=(("j/0", 1),))
    assert group.tick() == ([denial] if denied else [])
    assert group.state_of("j/0") == ("queued" if denied else state)


def test_permit_of_a_reordered_reply_is_ignored() -> None:
    """Guards against starts after the domain left service (R4)."""
    group = DomainGroupHarness()
    group.add_job()
    group.call(heartbeat())

    def sync(version: int, deadline_unix_ms: int) -> str:
        reply = DomainSync(
            version=version,
            configuration=None,
            start_permit_deadline_unix_ms=deadline_unix_ms,
        )
        group.service.handle_sync_reply(reply, group.now)
        view: Any = group.call(SchedulerSync(scheduler_id="s"))
        return str(view.start_permit_deadline_unix_ms - group.now.unix_ms)

    now = group.now.unix_ms
    assert sync(1, now + 2_000) == "2000"
    assert sync(1, now + 1_000) == "2000"
    assert sync(2, now + 500) == "500"
    assert sync(1, now + 2_000) == "500"
    assert sync(2, 0) == str(-now)


def test_no_placement_without_a_permit() -> None:
    """Guards against starts in a partitioned domain (R4)."""
    group = DomainGroupHarness()
    group.add_job()
    group.call(heartbeat())
    group.permit()
    sent = msgspec.structs.replace(_placement(), start_deadline_unix_ms=2**53)
    outcome: Any = group.service.handle(sent, group.now)
    deadline_unix_ms = group.now.unix_ms + 2_250
    assert outcome.body.start_deadline_unix_ms == deadline_unix_ms
    group.advance(2_250)
    reply: Any = group.call(_placement())
    assert reply.results[0].code == "no-start-permit"
    group.service.step_down()
    group.service.become_leader(group.now)
    assert isinstance(
        group.service.handle(_placement(), group.now), ImmediateReply
    )


def _placement() -> Any:
    return PlaceTasks(scheduler_id="s", placements=(place("j/0"),))


def test_domain_out_of_service_drains_by_finish_deadline() -> None:
    """Guards against tasks that stay, or move while running (R9)."""
    group = DomainGroupHarness()
    deadlines = {"late": 9, "none": 0, "soon": 5}
    for job_id, deadline in deadlines.items():
        group.add_job(
            job_id,
            finish_deadline_unix_ms=deadline,
            when_domain_lost="stay" if job_id == "late" else "move",
        )
        group.run(f"{job_id}/0", job_id)
    group.configure(1, failure_domains__centro={"state": "out-of-service"})
    (eviction,) = group.tick()
    assert isinstance(eviction, EvictTasks)
    assert eviction.task_ids == ("soon/0", "late/0", "none/0")
    assert group.tick() == []
    for job_id in deadlines:
        stopped = TaskReport(task_id=f"{job_id}/0", attempt=1, state="stopped")
        group.call(heartbeat(job_id, tasks=(stopped,)))
    released = [ReleaseJob(job_id="none"), ReleaseJob(job_id="soon")]
    assert group.tick() == released
    assert group.tick() == []


def test_leaving_worker_is_drained() -> None:
    """Guards against a planned stop that interrupts tasks (R9)."""
    group = DomainGroupHarness()
    group.add_job()
    group.run()
    group.call(heartbeat(leaving=True, sent_unix_ms=1))
    group.tick()
    assert group.state_of("j/0") == "stopping"


def test_restriction_stops_starts_only() -> None:
    """Guards against evictions by a local restriction."""
    group = DomainGroupHarness()
    group.add_job()
    group.run()
    group.call(RestrictStarts(operator="ana"))
    assert group.tick() == []
    group.permit()
    view: Any = group.call(SchedulerSync(scheduler_id="s"))
    assert (view.in_service, view.start_permit_deadline_unix_ms) == (True, 0)


def test_sync_with_the_global_group() -> None:
    """Guards against changes that are lost or applied out of order."""
    group = DomainGroupHarness()
    group.add_job("old")
    group.run("old/0")
    group.call(report("old/0", 1, "completed"))
    group.call(
        EntrySync(
            entry_id="e1", address="", known_version=7, known_table_version=0
        )
    )
    sent = group.service.build_sync_request(group.now)
    assert (sent.known_job_sequence, sent.finished_jobs) == (1, ("old",))
    assert [process.version for process in sent.processes] == [7]
    newer = Configuration(version=4)
    change = group.job_change("assign", "j", job=Job(job_id="j", team="t"))
    reply = DomainSync(
        version=4,
        configuration=newer,
        start_permit_deadline_unix_ms=0,
        job_changes=(change,),
        recorded_finished_jobs=("old", "other"),
    )
    commands = group.service.handle_sync_reply(reply, group.now)
    assert commands == [
        AdoptConfiguration(configuration=newer),
        JobsRecorded(finished_jobs=("old",)),
        AcceptJobs(changes=(change,)),
    ]
    for command in commands:
        group.apply(command)
    assert group.service.handle_sync_reply(reply, group.now) == []


def test_entry_gets_new_versions() -> None:
    """Guards against entries with stale endpoints or configuration (R8)."""
    group = DomainGroupHarness()

    def sync(version: int, table_version: int) -> Any:
        return group.call(
            EntrySync(
                entry_id="e1",
                address="",
                known_version=version,
                known_table_version=table_version,
            )
        )

    group.configure(2)
    serving: dict[str, Any] = {
        "address": "ip:1",
        "services": ("seats",),
        "slots": 8,
    }
    group.call(heartbeat(**serving))
    view = sync(0, 0)
    assert (view.group_incarnation, view.configuration.version) == ("g1", 2)
    assert [endpoint.slots for endpoint in view.endpoints] == [8]
    unchanged = sync(2, view.table_version)
    assert (unchanged.configuration, unchanged.endpoints) == (None, None)
    group.call(heartbeat(**serving, leaving=True))
    latest = sync(3, view.table_version)
    assert (latest.configuration, latest.endpoints[0].leaving) == (None, True)
    group.apply(WORKER_LOST)
    assert sync(2, latest.table_version).endpoints == ()


def test_views_include_observed_usage() -> None:
    """Guards against a scheduler that plans with declared resources only."""
    group = DomainGroupHarness()
    group.configure(1, teams__ovens={"running_tasks": 5})
    group.add_job()
    group.run()
    used = report("j/0", 1, "running", memory_mb=300, slowdown=1.5)
    group.call(msgspec.structs.replace(used, request_latency_p99_ms=4.0))
    view: Any = group.call(SchedulerSync(scheduler_id="s"))
    (task,) = view.tasks
    assert (task.observed_memory_mb, task.observed_slowdown) == (300, 1.5)
    assert view.quotas == {"ovens": {"running_tasks": 5}}
    assert view.workers[0].request_latency_p99_ms == 4.0
    tasks: Any = group.call(ListTasks(job_id="j"))
    (listed,) = tasks.tasks
    assert listed.job.payload == "bake"
    # With payloads of 64 KiB the view would exceed the frame size limit.
    job_without_payload = msgspec.structs.replace(listed.job, payload="")
    assert msgspec.structs.replace(listed, job=job_without_payload) == task
    workers: Any = group.call(ListWorkers())
    assert workers.workers == view.workers


def test_dump_omits_stored_responses() -> None:
    """Guards against leaking callers' data into logs and dumps."""
    group = DomainGroupHarness()
    begin = BeginRequest(
        key="k",
        body_digest="d",
        entry_id="e",
        attempt_id="a",
        send_deadline_unix_ms=group.now.unix_ms,
    )
    group.call(begin)
    answer = StoredResponse(status=200, headers=(("a", "hide"),), body=b"hide")
    group.call(FinishRequest(key="k", attempt_id="a", answer=answer))
    assert isinstance(group.service.handle(begin, group.now), ImmediateReply)
    dump: Any = group.call(DumpState())
    content = msgspec.json.decode(dump.json)
    assert content["machine"]["requests"][0]["answer_body_bytes"] == 4
    assert b"hide" not in dump.json


def test_records_expire_once_a_minute() -> None:
    """Guards against a table that only grows."""
    group = DomainGroupHarness()
    group.advance(59_999)
    assert group.tick() == []
    group.advance(1)
    assert group.tick() == [ExpireRecords(before_unix_ms=group.now.unix_ms)]
    assert group.tick() == []
