"""No path leads past the check of a key that a manifest has withdrawn.

The cases: the leader is cut off, frozen and thawed, or without a lease; a
request waits where no process reads it; the group client sends it again; a
member forwards it. In each the key is withdrawn meanwhile by another leader,
and the version is acknowledged before the request is sent, unless the test
says otherwise.
"""

import asyncio

import pytest

from sardinespool.errors.replication import NotLeaderError
from sardinespool.errors.replication import ProposalLostError
from sardinespool.errors.tasks import UnknownWorkspaceKeyError
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import Refused
from sardinespool.messages.workflows import CancelWorkflow
from sardinespool.messages.workflows import CountWaiting
from sardinespool.messages.workflows import ReadWorkflow
from sardinespool.replication.messages import AppendReply
from testing.store.control_cluster import ControlCluster
from testing.store.control_cluster import Member
from testing.store.control_cluster import STEP_MS
from testing.workflows.workspaces import digest
from testing.workflows.workspaces import make_manifest
from testing.workflows.workspaces import submit

KEY = digest("ana1")
FIRST = make_manifest(1, ana="ana1 ana2")
SECOND = make_manifest(2, ana="ana2")
REQUESTS: dict[str, Request] = {
    "submit": submit("/closed/new", "ana1"),
    "read": ReadWorkflow(host="h", path="/closed/old", key_digest=KEY),
    "cancel": CancelWorkflow(host="h", path="/closed/old", key_digest=KEY),
    "count": CountWaiting(host="h", path="/closed/", key_digest=KEY),
}
each_request = pytest.mark.parametrize(
    "request_", REQUESTS.values(), ids=REQUESTS
)


def make_cluster() -> ControlCluster:
    cluster = ControlCluster(FIRST)
    cluster.call(submit("/closed/old", "ana1"))
    cluster.run(100)
    return cluster


def wait_for_leader(cluster: ControlCluster, old: Member) -> None:
    """Wait until another member than the old leader serves."""
    others = [item for item in cluster.members.values() if item is not old]
    while not any(item.handler.serving for item in others):
        cluster.step()


def withdraw_elsewhere(cluster: ControlCluster, old: Member) -> None:
    """Have the other members elect a leader and withdraw the key."""
    wait_for_leader(cluster, old)
    cluster.call(SECOND)


def error_of(reply: "asyncio.Future[Reply]") -> str:
    """Return the code of the refusal or error of a call."""
    error = reply.exception()
    if error is not None:
        return getattr(error, "code", repr(error))
    result = reply.result()
    return result.code if isinstance(result, Refused) else "ok"


def assert_untouched(cluster: ControlCluster) -> None:
    """Check all members once they are connected again."""
    cluster.cut.clear()
    cluster.frozen.clear()
    cluster.held = lambda message: False
    cluster.run(5_000)
    for member in cluster.members.values():
        workflows = member.machine.table.workflows
        assert set(workflows) == {"old"}
        assert workflows["old"].state != "cancelled"
        assert member.machine.manifest.version == 2


@each_request
@pytest.mark.parametrize("wait_ms", [0, 300, 5_000])
def test_leader_that_is_cut_off(request_: Request, wait_ms: int) -> None:
    """Guards against a withdrawn key that passes in a minority.

    A front that is cut off with the old leader reaches no other.
    """
    cluster = make_cluster()
    old = cluster.leader
    cluster.cut.add(old.name)
    withdraw_elsewhere(cluster, old)
    cluster.run(wait_ms)
    reply = cluster.begin_call(request_, old)
    cluster.run(100)
    assert error_of(reply) == NotLeaderError.code
    assert_untouched(cluster)


@each_request
@pytest.mark.parametrize("first", ["call", "messages"])
def test_leader_that_is_frozen_and_thawed(
    request_: Request, first: str
) -> None:
    """Guards against a check in a leadership that ended in the freeze.

    The request waits in the socket of the frozen process and is read first,
    or after the messages of the next leader.
    """
    cluster = make_cluster()
    old = cluster.leader
    cluster.frozen.add(old.name)
    withdraw_elsewhere(cluster, old)
    reply = cluster.begin_call(request_, old)
    if first == "call":
        waiting, old.events = old.events[:-1], old.events[-1:]
        old.handle_events()
        old.events = waiting
    cluster.frozen.clear()
    cluster.run(100)
    assert error_of(reply) == NotLeaderError.code
    assert_untouched(cluster)


@each_request
def test_leader_that_is_frozen_within_a_batch(
    request_: Request, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a check with the clock of before a freeze.

    The lease was valid when the batch with the call began; the process froze
    while it applied an entry.
    """
    cluster = make_cluster()
    leader = cluster.leader
    apply = leader.machine.apply

    def freeze_and_apply(command: Command, index: int) -> Reply:
        monkeypatch.undo()
        cluster.now_ms += 5_000
        return apply(command, index)

    cluster.begin_call(submit("/closed/other", "ana1"))
    cluster.run(2 * STEP_MS)
    monkeypatch.setattr(leader.machine, "apply", freeze_and_apply)
    reply = cluster.begin_call(request_)
    cluster.step()
    assert cluster.now_ms > 15_000
    assert error_of(reply) == NotLeaderError.code
    cluster.run(5_000)
    for member in cluster.members.values():
        workflows = member.machine.table.workflows
        assert set(workflows) == {"old", "other"}
        assert workflows["old"].state != "cancelled"


@each_request
def test_leader_whose_lease_ran_out(request_: Request) -> None:
    """Guards against a check without a lease, before the next election."""
    cluster = make_cluster()
    old = cluster.leader
    cluster.held = lambda message: isinstance(message, AppendReply)
    while old.handler.serving:
        cluster.step()
    reply = cluster.begin_call(request_, old)
    old.handle_events()
    assert error_of(reply) == NotLeaderError.code
    cluster.held = lambda message: False
    while not any(item.handler.serving for item in cluster.members.values()):
        cluster.step()
    cluster.call(SECOND)
    assert_untouched(cluster)


def test_new_leader_serves_only_with_all_earlier_versions() -> None:
    """Guards against a leader that has not yet applied the withdrawal."""
    cluster = make_cluster()
    first = cluster.leader
    cluster.call(SECOND)
    cluster.cut.add(first.name)
    others = [item for item in cluster.members.values() if item is not first]
    replies: list[asyncio.Future[Reply]] = []
    while not any(item.handler.serving for item in others):
        replies += [
            cluster.begin_call(REQUESTS["read"], item) for item in others
        ]
        cluster.step()
    cluster.run(100)
    assert {error_of(reply) for reply in replies} <= {
        NotLeaderError.code,
        UnknownWorkspaceKeyError.code,
    }


def test_job_proposed_in_an_ended_leadership() -> None:
    """Guards against a proposal of before the freeze that commits later.

    The old leader checked the key under its lease, and froze before it sent
    the entry. Its entry is replaced by those of the next leader.
    """
    cluster = make_cluster()
    old = cluster.leader
    cluster.cut.add(old.name)
    reply = cluster.begin_call(REQUESTS["submit"], old)
    old.handle_events()
    assert not reply.done()
    cluster.frozen.add(old.name)
    withdraw_elsewhere(cluster, old)
    cluster.frozen.clear()
    cluster.cut.clear()
    cluster.run(2_000)
    assert error_of(reply) == ProposalLostError.code
    assert_untouched(cluster)


@pytest.mark.parametrize("freeze", [False, True])
def test_job_and_withdrawal_in_flight_together(freeze: bool) -> None:
    """Guards against a job that is stored, or told to be, after its key ended.

    The version is first in the log, so the job is refused by the leader that
    proposed both, and by the next one.
    """
    cluster = make_cluster()
    old = cluster.leader
    version = cluster.begin_call(SECOND)
    reply = cluster.begin_call(REQUESTS["submit"])
    old.handle_events()
    assert not version.done() and not reply.done()
    if freeze:
        cluster.frozen.add(old.name)
        cluster.run(100)
        wait_for_leader(cluster, old)
    else:
        cluster.run(200)
        assert error_of(version) == "ok"
        assert error_of(reply) == UnknownWorkspaceKeyError.code
    assert_untouched(cluster)
