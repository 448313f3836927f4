"""Tests of a controller whose disk temporarily refuses writes."""

import asyncio
import errno
import os
import pathlib
import socket
import weakref
from types import SimpleNamespace
from typing import Any

import pytest

from sardinespool.dispatch.orders import NoAnswer
from sardinespool.errors import SardinespoolError
from sardinespool.errors.replication import LogFullError
from sardinespool.errors.replication import NotLeaderError
from sardinespool.errors.replication import ProposalLostError
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.manifest import ManifestCopy
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import ReadManifest
from sardinespool.messages.tasks import Accepted
from sardinespool.observability.metrics import Metrics
from sardinespool.platform.responses import error_response
from sardinespool.programs.controller.control_member import ControlGroupMember
from sardinespool.programs.controller.settings import (
    ControlGroupMemberSettings,
)
from sardinespool.replication.state import PersistedState
from sardinespool.storage.group_store import GroupStore

CALL_TIMEOUT_MS = 300


class UnreachableWorkers:
    """Fails every call to a worker."""

    async def renew_lease(self, *arguments: Any) -> NoAnswer:
        return NoAnswer(sent=False, reason="no workers")

    async def order(self, *arguments: Any) -> NoAnswer:
        return NoAnswer(sent=False, reason="no workers")

    def close_connections(self, worker_id: str) -> None:
        """Do nothing."""


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def make_manifest(version: int) -> PublishManifest:
    return PublishManifest(
        version=version, queues=(), pools=(), source=str(version).encode()
    )


async def call_until_served(
    controller: ControlGroupMember, request: Request
) -> Reply:
    """Repeat a call until the member, alone in its group, serves it."""
    while True:
        try:
            return await controller.call(request, CALL_TIMEOUT_MS)
        except SardinespoolError:
            await asyncio.sleep(0.05)


class LapsingRunner:
    """Loses the leadership or the answer of a request that it proposed."""

    def __init__(self, error: SardinespoolError | None) -> None:
        self.serving = True
        self.status = SimpleNamespace(leader="")
        self._error = error

    async def call(self, request: Request) -> Reply:
        if self._error is None:
            await asyncio.sleep(3_600)
        assert self._error is not None
        raise self._error


@pytest.mark.parametrize(
    ("error", "stopping", "status"),
    [
        # Refused before it was proposed: it has not run.
        (NotLeaderError("Not here."), False, 503),
        (NotLeaderError("Not here."), True, 503),
        (ProposalLostError("The lease lapsed before the reply."), False, 504),
        (ProposalLostError("The lease lapsed before the reply."), True, 504),
        # No answer in time: it may still be committed.
        (None, False, 504),
    ],
    ids=["refused", "refused-stopping", "lapsed", "lapsed-stopping", "none"],
)
def test_call_that_may_have_run_is_not_said_to_be_refused(
    tmp_path: pathlib.Path,
    error: SardinespoolError | None,
    stopping: bool,
    status: int,
) -> None:
    """Guards against 503, which says that nothing ran, after a commit."""

    async def run() -> int:
        address = free_address()
        controller = ControlGroupMember(
            ControlGroupMemberSettings(
                address=address,
                peers=(),
                bootstrap=False,
                data_folder=tmp_path,
                cluster_token="token",
            ),
            UnreachableWorkers(),
            Metrics("controller", "a"),
        )
        controller._runner = LapsingRunner(error)  # type: ignore[assignment]
        if stopping:
            controller._stopping.set()
        try:
            await controller.call(make_manifest(1), 60)
        except SardinespoolError as raised:
            return error_response(raised).status
        finally:
            await controller.stop()
        return 200

    assert asyncio.run(run()) == status


def test_controller_recovers_from_full_disk(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that exits when its disk is full.

    A failed sync must be reported to the caller, and the member must serve
    again with all committed data once writes succeed.
    """

    async def run() -> None:
        address = free_address()
        controller = ControlGroupMember(
            ControlGroupMemberSettings(
                address=address,
                peers=(address,),
                bootstrap=True,
                data_folder=tmp_path,
                cluster_token="token",
            ),
            UnreachableWorkers(),
            Metrics("controller", "a"),
        )
        controller.start()
        assert (
            await call_until_served(controller, make_manifest(1)) == Accepted()
        )
        with monkeypatch.context() as full_disk:

            def raise_disk_full(descriptor: int) -> None:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

            full_disk.setattr(os, "fdatasync", raise_disk_full)
            with pytest.raises(SardinespoolError):
                await controller.call(make_manifest(2), CALL_TIMEOUT_MS)
            assert not controller.group_task.done()
        assert (
            await call_until_served(controller, make_manifest(3)) == Accepted()
        )
        reply = await call_until_served(controller, ReadManifest())
        assert isinstance(reply, ManifestCopy)
        assert reply.version == 3
        await controller.stop()

    asyncio.run(run())


def test_files_are_loaded_after_the_earlier_state_is_released(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against two copies of the log and the state in memory."""
    earlier: list[weakref.ref[Any]] = []
    loaded_beside: list[bool] = []
    load = GroupStore.load

    def record_load(store: GroupStore) -> PersistedState:
        loaded_beside.extend(item() is not None for item in earlier)
        return load(store)

    monkeypatch.setattr(GroupStore, "load", record_load)

    async def run() -> None:
        address = free_address()
        controller = ControlGroupMember(
            ControlGroupMemberSettings(
                address=address,
                peers=(address,),
                bootstrap=True,
                data_folder=tmp_path,
                cluster_token="token",
            ),
            UnreachableWorkers(),
            Metrics("controller", "a"),
        )
        controller.start()
        await call_until_served(controller, make_manifest(1))
        handler = controller._runner._event_handler
        assert handler is not None
        earlier.extend(
            weakref.ref(item)
            for item in (
                handler._replica._raft.log,
                controller._machine,
                controller._dispatcher,
            )
        )
        del handler
        with monkeypatch.context() as full_disk:

            def raise_disk_full(descriptor: int) -> None:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

            full_disk.setattr(os, "fdatasync", raise_disk_full)
            with pytest.raises(SardinespoolError):
                await controller.call(make_manifest(2), CALL_TIMEOUT_MS)
        await call_until_served(controller, make_manifest(3))
        await controller.stop()

    asyncio.run(run())
    assert loaded_beside
    assert not any(loaded_beside)


def test_call_waits_for_room_in_the_log(tmp_path: pathlib.Path) -> None:
    """Guards against a refusal while earlier changes are being committed."""

    class FullLog:
        serving = True
        status = SimpleNamespace(leader="")
        refusals = 3

        async def call(self, request: Request) -> Reply:
            self.refusals -= 1
            if self.refusals >= 0:
                raise LogFullError("Full.")
            return Accepted()

    async def run() -> None:
        controller = ControlGroupMember(
            ControlGroupMemberSettings(
                address=free_address(),
                peers=(),
                bootstrap=False,
                data_folder=tmp_path,
                cluster_token="token",
            ),
            UnreachableWorkers(),
            Metrics("controller", "a"),
        )
        controller._runner = FullLog()  # type: ignore[assignment]
        reply = await controller.call(make_manifest(1), 3_000)
        assert reply == Accepted()
        await controller.stop()

    asyncio.run(run())
