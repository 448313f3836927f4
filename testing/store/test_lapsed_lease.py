"""Tests of a leader whose lease lapses and is valid again in one term."""

import pytest

from sardinespool.clock import Instant
from sardinespool.dispatch.orders import LeaseRenewed
from sardinespool.dispatch.orders import StartRun
from sardinespool.dispatch.orders import StopRun
from sardinespool.errors.replication import ProposalLostError
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import Command
from sardinespool.messages.worker_reports import ReportWorker
from sardinespool.messages.worker_reports import WorkerLeaves
from sardinespool.messages.workflows import CancelWorkflow
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import SubmitWorkflow
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.replication.messages import AppendEntries
from sardinespool.replication.messages import AppendReply
from sardinespool.replication.messages import PeerMessage
from sardinespool.transport.group_client import may_take_effect
from testing.store.control_cluster import ControlCluster
from testing.store.control_cluster import make_description
from testing.store.control_cluster import Member
from testing.store.control_cluster import STEP_MS

SUBMIT = SubmitWorkflow(
    host="h",
    path="/q/job",
    spec=WorkflowSpec(
        payload="text",
        steps=(StepSpec(count=1, processors_millicores=1_000, memory_mb=100),),
    ),
)
CANCEL = CancelWorkflow(host="h", path="/q/job")


def heartbeat(worker_id: str, sequence: int) -> ReportWorker:
    return ReportWorker(
        description=make_description(worker_id, 1),
        sequence=sequence,
        clock_ms=1_000,
    )


def carries_entries(message: PeerMessage) -> bool:
    return isinstance(message, AppendEntries) and bool(message.entries)


def is_acknowledgement(message: PeerMessage) -> bool:
    return isinstance(message, AppendReply)


def register_worker(cluster: ControlCluster, worker_id: str) -> None:
    """Register a worker and answer its first lease renewal."""
    cluster.call(heartbeat(worker_id, 1))
    answer_renewal(cluster.leader, worker_id, cluster.clock())


def answer_renewal(member: Member, worker_id: str, now: Instant) -> None:
    renewal = member.dispatcher.orders.next_lease_renewal(worker_id, now)
    assert renewal is not None
    member.dispatcher.handle_renewal_result(
        worker_id,
        1,
        renewal,
        LeaseRenewed(1_000, 1, (), ()),
        now.boot_ms,
        now,
    )


def runs_without_state(member: Member) -> list[str]:
    """Return the assigned tasks of which the dispatcher keeps no run."""
    workers = member.dispatcher.fleet.workers
    return [
        task.key
        for worker_id, tasks in member.machine.table.assigned.items()
        for task in tasks.values()
        if worker_id not in workers
        or (task.key, task.run) not in workers[worker_id].runs
    ]


def lapse_with_assignment_in_flight(cluster: ControlCluster) -> Member:
    """Let the lease lapse and return while an assignment is not committed.

    The acknowledgement of an earlier heartbeat renews the lease.
    """
    register_worker(cluster, "w")
    leader = cluster.leader
    term = leader.handler.status.term
    cluster.call(SUBMIT)
    assert not leader.machine.table.assigned
    cluster.held = lambda message: (
        carries_entries(message) or is_acknowledgement(message)
    )
    while leader.handler.serving:
        cluster.step()
    cluster.held = carries_entries
    while not leader.handler.serving:
        cluster.step()
    assert not leader.machine.table.assigned
    assert leader.handler.status.term == term
    return leader


def test_assignment_committed_after_lapse_is_ordered() -> None:
    """Guards against an assigned task that no leader orders.

    The task would stay idle until the next leader change.
    """
    cluster = ControlCluster()
    leader = lapse_with_assignment_in_flight(cluster)
    cluster.held = lambda message: False
    cluster.run(300)
    assert leader.machine.table.assigned
    assert runs_without_state(leader) == []
    due = leader.dispatcher.orders.next_order("w", cluster.clock())
    assert due is not None
    assert isinstance(due[1], StartRun)


def test_lapse_within_term_keeps_dispatcher_state() -> None:
    """Guards against a second use of one fencing token.

    A restarted dispatcher would take answers to the orders of its first span
    for answers to its own.
    """
    cluster = ControlCluster()
    register_worker(cluster, "w")
    leader = cluster.leader
    worker = leader.dispatcher.fleet.workers["w"]
    cluster.held = is_acknowledgement
    while leader.handler.serving:
        cluster.step()
    cluster.held = lambda message: False
    while not leader.handler.serving:
        cluster.step()
    cluster.step()
    assert leader.dispatcher.fleet.workers.get("w") is worker


def freeze_in_next_apply(
    cluster: ControlCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Freeze the leader past the end of its lease when it next applies."""
    leader = cluster.leader
    apply = leader.machine.apply

    def freeze_and_apply(command: Command, index: int) -> Reply:
        monkeypatch.setattr(leader.machine, "apply", apply)
        while leader.handler.serving:
            cluster.now_ms += 1
        return apply(command, index)

    monkeypatch.setattr(leader.machine, "apply", freeze_and_apply)


def call_during_freeze(
    cluster: ControlCluster, monkeypatch: pytest.MonkeyPatch, request: Request
) -> Member:
    """Call while the lease has lapsed between the commit and the reply.

    A later heartbeat, acknowledged after the commit, renews the lease before
    the next batch.
    """
    leader = cluster.leader
    reply = cluster.begin_call(request)
    cluster.held = is_acknowledgement
    sent_ms = cluster.now_ms + STEP_MS
    cluster.run(200)
    freeze_in_next_apply(cluster, monkeypatch)
    cluster.held = lambda message: (
        isinstance(message, AppendReply) and message.sent_boot_ms > sent_ms
    )
    cluster.step()
    cluster.held = lambda message: False
    error = reply.exception()
    assert isinstance(error, ProposalLostError)
    assert may_take_effect(error)
    cluster.step()
    assert leader.handler.serving
    return leader


def test_worker_recorded_without_reply_is_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a recorded worker that never gets a task.

    Its later heartbeats equal the recorded one and are not proposed again.
    """
    cluster = ControlCluster()
    leader = call_during_freeze(cluster, monkeypatch, heartbeat("w", 1))
    assert "w" in leader.machine.workers
    assert "w" in leader.dispatcher.fleet.workers


def test_worker_dropped_without_reply_is_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against assignments to a worker that has left."""
    cluster = ControlCluster()
    register_worker(cluster, "w")
    leader = call_during_freeze(
        cluster, monkeypatch, WorkerLeaves(worker_id="w", incarnation=1)
    )
    assert "w" not in leader.machine.workers
    assert "w" not in leader.dispatcher.fleet.workers


def test_job_cancelled_without_reply_is_stopped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a cancelled job that keeps running."""
    cluster = ControlCluster()
    register_worker(cluster, "w")
    cluster.call(SUBMIT)
    orders = cluster.leader.dispatcher.orders
    while (due := orders.next_order("w", cluster.clock())) is None:
        cluster.step()
    assert isinstance(due[1], StartRun)
    leader = call_during_freeze(cluster, monkeypatch, CANCEL)
    run = leader.dispatcher.fleet.workers["w"].runs[due[0]]
    assert run.stop_requested
    run.in_flight = False
    stop = orders.next_order("w", cluster.clock())
    assert stop is not None
    assert isinstance(stop[1], StopRun)


def test_late_leave_of_earlier_incarnation_keeps_worker() -> None:
    """Guards against dropping a worker that has started anew.

    The state keeps the new incarnation; a dispatcher that dropped it would
    never use it again.
    """
    cluster = ControlCluster()
    register_worker(cluster, "w")
    leader = cluster.leader
    restarted = ReportWorker(
        description=make_description("w", 2), sequence=1, clock_ms=10
    )
    replies = [
        cluster.begin_call(restarted),
        cluster.begin_call(WorkerLeaves(worker_id="w", incarnation=1)),
    ]
    while not all(reply.done() for reply in replies):
        cluster.step()
    assert leader.machine.workers["w"].incarnation == 2
    assert "w" in leader.dispatcher.fleet.workers
