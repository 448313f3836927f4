"""Global group: job homes, start permits and domain reports."""

from typing import Any

import pytest

from sardinespool.clock import Instant
from sardinespool.errors.tasks import GroupRetiredError
from sardinespool.groups.global_machine import GlobalMachine
from sardinespool.groups.global_service import GlobalService
from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.groups.interfaces import Proposal
from sardinespool.messages.commands import Command
from sardinespool.messages.configuration import ApprovePatch
from sardinespool.messages.configuration import Change
from sardinespool.messages.configuration import ConfigurationStatus
from sardinespool.messages.configuration import SubmitPatch
from sardinespool.messages.jobs import CancelJob
from sardinespool.messages.jobs import DomainSync
from sardinespool.messages.jobs import Job
from sardinespool.messages.jobs import ReleasedJob
from sardinespool.messages.jobs import ReleaseId
from sardinespool.messages.jobs import SubmitJob
from sardinespool.messages.jobs import SyncDomain
from sardinespool.messages.jobs import TaskTransfer

DOMAINS = ("centro", "norte", "sur")
RELEASED = ReleaseId(job_id="j", assign_sequence=1)
TRANSFER = TaskTransfer(number=0, attempt=3, state="queued", checkpoint="c")


class GlobalGroupHarness:
    """Global group whose proposals are committed immediately."""

    def __init__(self) -> None:
        self.machine = GlobalMachine()
        self.service = GlobalService(self.machine)
        self.now = Instant(1_000, 1_000_000)
        self.index = 0
        for name in DOMAINS:
            self.sync(name)

    def call(self, request: Any) -> Any:
        """Handle a request as the store program does."""
        outcome = self.service.handle(request, self.now)
        match outcome:
            case ImmediateReply(reply=reply):
                return reply
            case Proposal(body=body):
                self.index += 1
                command = Command(proposed_unix_ms=self.now.unix_ms, body=body)
                result = self.machine.apply(command, self.index)
                return self.service.build_reply(request, result, self.now)

    def sync(self, name: str, **fields: Any) -> DomainSync:
        """Send the report of a failure domain."""
        values = {
            "failure_domain": name,
            "group_incarnation": "g1",
            "known_version": 0,
            "known_job_sequence": 0,
            **fields,
        }
        reply = self.call(SyncDomain(**values))
        assert isinstance(reply, DomainSync)
        return reply

    def set_state(self, name: str, state: str) -> None:
        """Set the service state of a failure domain."""
        version = self.machine.history.configuration.version
        receipt = self.call(
            SubmitPatch(
                patch_id=f"p{version}",
                base_version=version,
                changes=(
                    Change(
                        op="set",
                        key=f"failure_domains/{name}",
                        value={"state": state},
                    ),
                ),
                author="ana",
            )
        )
        self.call(
            ApprovePatch(
                patch_id=receipt.patch_id,
                digest=receipt.digest,
                approver="luz",
            )
        )


def submit(group: GlobalGroupHarness, job_id: str, **fields: Any) -> Any:
    return group.call(
        SubmitJob(job=Job(job_id=job_id, team="office", **fields))
    )


def release(job_id: str, sequence: int) -> dict[str, Any]:
    return {
        "released_jobs": (
            ReleasedJob(
                job_id=job_id,
                assign_sequence=sequence,
                tasks=(TRANSFER,),
            ),
        )
    }


def test_jobs_spread_over_domains() -> None:
    """Guards against assigning every job to one domain."""
    group = GlobalGroupHarness()
    failure_domains = {submit(group, f"j{n}").failure_domain for n in range(3)}
    assert failure_domains == set(DOMAINS)


def test_resent_job_has_one_home() -> None:
    """Guards against a second assignment after a lost reply."""
    group = GlobalGroupHarness()
    first = submit(group, "j")
    assert submit(group, "j") == first
    changes = [group.sync(name).job_changes for name in DOMAINS]
    assert sum(len(domain_changes) for domain_changes in changes) == 1
    assert submit(group, "j", task_count=2).code == "job-id-reused"


def test_out_of_service_domain_gets_no_permit_and_no_job() -> None:
    """Guards against starts in a domain that is out of service."""
    group = GlobalGroupHarness()
    assert group.sync("norte").start_permit_deadline_unix_ms == 1_002_500
    group.set_state("norte", "out-of-service")
    assert group.sync("norte").start_permit_deadline_unix_ms == 0
    failure_domains = {submit(group, f"j{n}").failure_domain for n in range(6)}
    assert failure_domains == {"centro", "sur"}
    group.set_state("norte", "in-service")
    assert group.sync("norte").start_permit_deadline_unix_ms == 1_002_500


def test_job_changes_are_resent_until_acknowledged() -> None:
    """Guards against a job that is lost with a reply."""
    group = GlobalGroupHarness()
    submit(group, "j", failure_domain="sur")
    first = group.sync("sur").job_changes
    assert group.sync("sur").job_changes == first
    assert group.sync("sur", known_job_sequence=1).job_changes == ()


def test_released_job_moves_once() -> None:
    """Guards against a second move after a duplicate release."""
    group = GlobalGroupHarness()
    submit(group, "j", failure_domain="norte", when_domain_lost="move")
    group.set_state("norte", "out-of-service")
    release_fields = release("j", 1)
    reply = group.sync("norte", known_job_sequence=1, **release_fields)
    assert reply.recorded_released_jobs == (RELEASED,)
    group.sync("norte", known_job_sequence=1, **release_fields)
    moves = [
        change
        for name in ("centro", "sur")
        for change in group.sync(name).job_changes
    ]
    assert [change.transfers for change in moves] == [(TRANSFER,)]


def test_release_waits_for_a_domain_and_may_return_home() -> None:
    """Guards against a stuck move when only the old home is in service."""
    group = GlobalGroupHarness()
    submit(group, "j", failure_domain="norte", when_domain_lost="move")
    for name in DOMAINS:
        group.set_state(name, "out-of-service")
    release_fields = release("j", 1)
    reply = group.sync("norte", known_job_sequence=1, **release_fields)
    assert reply.recorded_released_jobs == (RELEASED,)
    group.set_state("norte", "in-service")
    reply = group.sync("norte", known_job_sequence=1, **release_fields)
    assert reply.recorded_released_jobs == (RELEASED,)
    assert [change.sequence for change in reply.job_changes] == [2]


def test_cancelled_job_is_not_moved() -> None:
    """Guards against a cancelled job that runs in its new home."""
    group = GlobalGroupHarness()
    submit(group, "j", failure_domain="norte", when_domain_lost="move")
    group.call(CancelJob(job_id="j"))
    group.sync("norte", known_job_sequence=1, **release("j", 1))
    assert group.machine.job_homes.jobs["j"].receipt.state == "cancelled"
    for name in ("centro", "sur"):
        assert group.sync(name).job_changes == ()


def test_finished_job_is_recorded_and_not_assigned_again() -> None:
    """Guards against a finished job that runs again after a resubmission."""
    group = GlobalGroupHarness()
    submit(group, "j", failure_domain="sur")
    for _ in range(2):
        reply = group.sync("sur", known_job_sequence=1, finished_jobs=("j",))
        assert reply.recorded_finished_jobs == ("j",)
    assert submit(group, "j", failure_domain="sur").state == "finished"


def test_reformed_group_gets_its_jobs_after_old_leases_expire() -> None:
    """Guards against a second execution next to tasks of a lost group."""
    group = GlobalGroupHarness()
    submit(group, "j", failure_domain="sur")
    group.sync("sur", known_job_sequence=1)
    assert group.sync("sur", group_incarnation="g2").job_changes == ()
    group.now = group.now.after(12_000)
    changes = group.sync("sur", group_incarnation="g2").job_changes
    assert [change.job_id for change in changes] == ["j"]
    with pytest.raises(GroupRetiredError):
        group.sync("sur", group_incarnation="g1")


def test_snapshot_restores_everything() -> None:
    """Guards against state missing from a snapshot."""
    group = GlobalGroupHarness()
    group.set_state("norte", "out-of-service")
    for number in range(5):
        submit(group, f"j{number}")
    group.call(CancelJob(job_id="j3"))
    restored = GlobalMachine()
    restored.restore(group.machine.snapshot())
    assert restored.snapshot() == group.machine.snapshot()
    receipt = restored.job_homes.submit(
        Job(job_id="next", team="office"), {"centro", "sur"}
    )
    assert receipt == submit(group, "next")


def test_domain_without_report_is_listed() -> None:
    """Guards against an unreachable domain that operators can't see."""
    group = GlobalGroupHarness()
    group.service.become_leader(group.now)
    group.sync("sur", known_version=4)
    status = group.call(ConfigurationStatus())
    versions = {
        domain.failure_domain: domain.version for domain in status.domains
    }
    assert versions == {"centro": 0, "norte": 0, "sur": 4}


def test_large_job_changes_are_split_over_replies() -> None:
    """Guards against a reply above the frame size limit, which is not sent."""
    group = GlobalGroupHarness()
    for number in range(60):
        submit(group, f"j{number}", failure_domain="sur", payload="x" * 60_000)
    known_sequence = 0
    reply_count = 0
    while known_sequence < 60:
        changes = group.sync(
            "sur", known_job_sequence=known_sequence
        ).job_changes
        assert 0 < len(changes) <= 18
        known_sequence = changes[-1].sequence
        reply_count += 1
    assert reply_count == 4
