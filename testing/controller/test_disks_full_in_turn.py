"""Members of a control group whose disks are full one after another."""

import asyncio
import errno
import itertools
import os
import pathlib
import socket

import pytest

from sardinespool.errors import SardinespoolError
from sardinespool.errors.storage import StorageError
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.manifest import ManifestCopy
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import ReadManifest
from sardinespool.messages.tasks import Accepted
from sardinespool.observability.metrics import Metrics
from sardinespool.programs.controller import control_member
from sardinespool.programs.controller.control_member import ControlGroupMember
from sardinespool.programs.controller.settings import (
    ControlGroupMemberSettings,
)
from sardinespool.replication.state import PersistedState
from sardinespool.storage.group_store import GroupStore
from testing.controller.test_storage_failure import UnreachableWorkers

CALL_TIMEOUT_MS = 300
ATTEMPTS_MAX = 400
"""Attempts of a call; a healthy group serves one within some ten."""
OPENINGS_REFUSED = 3


class FullDisks:
    """Refuses all writes to the folders in `full`."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.full: set[pathlib.Path] = set()
        for name in ("write", "ftruncate", "fdatasync", "fsync"):
            self._refuse(monkeypatch, name)
        self._open = os.open
        monkeypatch.setattr(os, "open", self._open_file)

    def _refuse(self, monkeypatch: pytest.MonkeyPatch, name: str) -> None:
        original = getattr(os, name)

        def call(descriptor: int, *arguments: object) -> object:
            self._check(os.readlink(f"/proc/self/fd/{descriptor}"))
            return original(descriptor, *arguments)

        monkeypatch.setattr(os, name, call)

    def _open_file(
        self, path: os.PathLike[str], flags: int, mode: int = 0o777
    ) -> int:
        if flags & os.O_CREAT and not os.path.exists(path):
            self._check(os.fspath(path))
        return self._open(path, flags, mode)

    def _check(self, path: str) -> None:
        if any(pathlib.Path(path).is_relative_to(item) for item in self.full):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def free_addresses(count: int) -> list[str]:
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{probe.getsockname()[1]}" for probe in probes]
    for probe in probes:
        probe.close()
    return addresses


async def call_until_served(
    members: list[ControlGroupMember], request: Request
) -> Reply:
    """Repeat a call at each member in turn, as an operator does."""
    for member in itertools.islice(itertools.cycle(members), ATTEMPTS_MAX):
        try:
            return await member.call(request, CALL_TIMEOUT_MS)
        except SardinespoolError:
            await asyncio.sleep(0.02)
    raise AssertionError("no member serves the call")


def manifest(version: int) -> PublishManifest:
    return PublishManifest(
        version=version, queues=(), pools=(), source=str(version).encode()
    )


def make_members(folder: pathlib.Path) -> list[ControlGroupMember]:
    addresses = free_addresses(3)
    return [
        ControlGroupMember(
            ControlGroupMemberSettings(
                address=address,
                peers=tuple(addresses),
                bootstrap=True,
                data_folder=folder / str(number),
                cluster_token="token",
            ),
            UnreachableWorkers(),
            Metrics("controller", str(number)),
        )
        for number, address in enumerate(addresses)
    ]


@pytest.mark.parametrize(
    "order", [(0, 1, 2), (2, 1, 0), (0, 0, 1)], ids=lambda order: str(order)
)
def test_changes_are_accepted_after_each_disk_was_full(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    order: tuple[int, ...],
) -> None:
    """Guards against a group that refuses changes long after the last disk.

    Each member's disk stays full until its files could not be opened again
    several times. Never two disks are full at once.
    """
    monkeypatch.setattr(control_member, "STORAGE_RETRY_DELAY_MS", 50)
    disks = FullDisks(monkeypatch)
    refused: list[pathlib.Path] = []
    load = GroupStore.load

    def count_refusals(store: GroupStore) -> PersistedState:
        try:
            return load(store)
        except StorageError:
            refused.append(store._folder.parent)
            raise

    monkeypatch.setattr(GroupStore, "load", count_refusals)

    async def run() -> None:
        members = make_members(tmp_path)
        for member in members:
            member.start()
        version = 1
        assert await call_until_served(members, manifest(1)) == Accepted()
        for number in order:
            folder = tmp_path / str(number)
            disks.full = {folder}
            refused.clear()
            while refused.count(folder) < OPENINGS_REFUSED:
                version += 1
                change = manifest(version)
                assert await call_until_served(members, change) == Accepted()
            disks.full = set()
        # A majority is needed from members whose disks were full.
        for member in members:
            version += 1
            change = manifest(version)
            assert await call_until_served([member], change) == Accepted()
            reply = await call_until_served([member], ReadManifest())
            assert isinstance(reply, ManifestCopy)
            assert reply.version == version
        for member in members:
            await member.stop()

    asyncio.run(run())
