"""Tests of `GroupRunner` with real files and a virtual clock."""

import asyncio
import errno
import os
import pathlib
from typing import Any

import pytest

from sardinespool.clock import Instant
from sardinespool.errors.replication import NotLeaderError
from sardinespool.errors.replication import ProposalLostError
from sardinespool.errors.storage import StorageError
from sardinespool.groups.global_machine import GlobalMachine
from sardinespool.groups.global_service import GlobalService
from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.messages.configuration import ApprovePatch
from sardinespool.messages.configuration import Change
from sardinespool.messages.configuration import ReadConfiguration
from sardinespool.messages.configuration import SubmitPatch
from sardinespool.observability.metrics import Metrics
from sardinespool.programs.store.group_event_handler import GroupEventHandler
from sardinespool.programs.store.group_runner import GroupRunner
from sardinespool.programs.store.store_metrics import StoreMetrics
from sardinespool.replication.replica import Replica
from sardinespool.replication.settings import ReplicaSettings
from sardinespool.storage.group_store import GroupStore

SNAPSHOT_EVERY_ENTRIES = 20


class Clock:
    """Virtual clock that advances by 20 ms at each reading."""

    def __init__(self) -> None:
        self.instant = Instant(0, 1_000_000_000)
        self.step_ms = 20

    def __call__(self) -> Instant:
        """Advance the clock and return its instant."""
        self.instant = self.instant.after(self.step_ms)
        return self.instant


class ExpiringLeaseReplica(Replica):
    """Replica whose lease expires at a set time.

    The only member of a group would otherwise always renew its lease.
    """

    lease_deadline_boot_ms = 2**60

    def is_leader(self, now: Instant) -> bool:
        """Return whether the lease is valid."""
        expired = now.boot_ms >= self.lease_deadline_boot_ms
        return super().is_leader(now) and not expired


class Member:
    """Runner of a group with a single member."""

    def __init__(self, folder: pathlib.Path, clock: Clock) -> None:
        self.machine = GlobalMachine()
        store = GroupStore(folder)
        state = store.load()
        self.replica = ExpiringLeaseReplica(
            ReplicaSettings(group="global", name="a", bootstrap=True),
            state,
            1,
            clock(),
        )
        event_handler = GroupEventHandler(
            "global",
            self.replica,
            store,
            self.machine,
            GlobalService(self.machine),
            lambda to, message: None,
            clock,
            StoreMetrics(Metrics("store", "a")),
            state.snapshot,
            SNAPSHOT_EVERY_ENTRIES,
            False,
        )
        self.runner = GroupRunner(event_handler)

    async def __aenter__(self) -> "Member":
        """Start the runner."""
        self.task = asyncio.create_task(self.runner.run())
        return self

    async def __aexit__(self, *error: object) -> None:
        """Stop the runner without a transfer of leadership, like a kill."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def call(self, request: Any) -> Any:
        """Repeat a call until the member serves the group."""
        while True:
            try:
                return await self.runner.call(request)
            except NotLeaderError:
                await asyncio.sleep(0)


async def create_version(member: Member, version: int) -> None:
    receipt = await member.call(
        SubmitPatch(
            patch_id=f"p{version}",
            base_version=version,
            changes=(Change(op="set", key="limits/a", value=version),),
            author="ana",
        )
    )
    await member.call(
        ApprovePatch(
            patch_id=receipt.patch_id,
            digest=receipt.digest,
            approver="luz",
        )
    )


@pytest.mark.parametrize("versions", [1, 9, 10, 11, 40])
def test_restart_preserves_all_versions(
    tmp_path: pathlib.Path, versions: int
) -> None:
    """Guards against a restart that loses versions kept in a snapshot."""

    async def run() -> None:
        clock = Clock()
        async with Member(tmp_path, clock) as member:
            for version in range(versions):
                await create_version(member, version)
        async with Member(tmp_path, clock) as member:
            configuration = await member.call(ReadConfiguration())
            assert configuration.version == versions
            await create_version(member, versions)
            assert member.machine.history.configuration.version == versions + 1

    asyncio.run(run())


def test_suspended_leader_does_not_reply(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a reply sent after the lease has expired.

    The process is suspended between making the reply and returning it.
    """

    async def run() -> None:
        clock = Clock()
        async with Member(tmp_path, clock) as member:
            await create_version(member, 0)
            pending_call = member.runner.call(ReadConfiguration())
            clock.step_ms = 0
            current_configuration = member.machine.history.configuration

            def expire_lease(*arguments: object) -> ImmediateReply:
                deadline_boot_ms = clock.instant.boot_ms
                member.replica.lease_deadline_boot_ms = deadline_boot_ms
                return ImmediateReply(current_configuration)

            monkeypatch.setattr(GlobalService, "handle", expire_lease)
            with pytest.raises(ProposalLostError):
                await pending_call

    asyncio.run(run())


def test_calls_are_refused_once_the_disk_has_failed(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against callers that wait for a group that no longer runs.

    They wait for their own timeout instead of going to another member.
    """

    async def run() -> None:
        member = Member(tmp_path, Clock())
        queued = asyncio.create_task(member.runner.call(ReadConfiguration()))
        await asyncio.sleep(0)

        def refuse(descriptor: int) -> None:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

        monkeypatch.setattr(os, "fdatasync", refuse)
        with pytest.raises(StorageError):
            await member.runner.run()
        late = asyncio.create_task(member.runner.call(ReadConfiguration()))
        for _ in range(3):
            await asyncio.sleep(0)
        for call in (queued, late):
            assert call.done()
            assert isinstance(call.exception(), NotLeaderError)

    asyncio.run(run())


def test_cancellation_during_event_stops_runner(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a store that ignores SIGTERM.

    A cancellation that arrives together with an event must not be lost.
    """

    async def run() -> None:
        member = Member(tmp_path, Clock())
        task = asyncio.create_task(member.runner.run())
        await asyncio.sleep(0)
        call = asyncio.create_task(member.runner.call(ReadConfiguration()))
        await asyncio.sleep(0)
        task.cancel()
        done, _ = await asyncio.wait([task], timeout=5)
        assert done
        call.cancel()
        await asyncio.gather(task, call, return_exceptions=True)

    asyncio.run(run())
