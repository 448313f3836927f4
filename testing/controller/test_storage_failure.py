"""A controller whose disk refuses writes for a while."""

import asyncio
import errno
import os
import pathlib
import socket
from typing import Any

import pytest

from sardinespool.dispatch.orders import NoAnswer
from sardinespool.errors import SardinespoolError
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.manifest import ManifestCopy
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import ReadManifest
from sardinespool.messages.tasks import Accepted
from sardinespool.observability.metrics import Metrics
from sardinespool.programs.controller.controller_process import (
    ControllerProcess,
)
from sardinespool.programs.controller.settings import ControllerSettings

CALL_TIMEOUT_MS = 300


class NoWorkers:
    """Answers no call; the test has no workers."""

    async def hold(self, *arguments: Any) -> NoAnswer:
        return NoAnswer(sent=False, reason="no workers")

    async def order(self, *arguments: Any) -> NoAnswer:
        return NoAnswer(sent=False, reason="no workers")

    def forget(self, worker_id: str) -> None:
        """Ignore the id."""


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def manifest(version: int) -> PublishManifest:
    return PublishManifest(
        version=version, queues=(), pools=(), source=str(version).encode()
    )


async def until_served(
    controller: ControllerProcess, request: Request
) -> Reply:
    """Call until the member serves; it is alone in its group."""
    while True:
        try:
            return await controller.call(request, CALL_TIMEOUT_MS)
        except SardinespoolError:
            await asyncio.sleep(0.05)


def test_full_disk_does_not_end_the_controller(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that ends when its disk is full."""

    async def run() -> None:
        address = free_address()
        controller = ControllerProcess(
            ControllerSettings(
                address=address,
                peers=(address,),
                bootstrap=True,
                data_folder=tmp_path,
                cluster_token="token",
            ),
            NoWorkers(),
            Metrics("controller", "a"),
        )
        controller.start()
        assert await until_served(controller, manifest(1)) == Accepted()
        with monkeypatch.context() as full:

            def refuse(descriptor: int) -> None:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

            full.setattr(os, "fdatasync", refuse)
            with pytest.raises(SardinespoolError):
                await controller.call(manifest(2), CALL_TIMEOUT_MS)
            assert not controller.ended.done()
        assert await until_served(controller, manifest(3)) == Accepted()
        reply = await until_served(controller, ReadManifest())
        assert isinstance(reply, ManifestCopy)
        assert reply.version == 3
        await controller.stop()

    asyncio.run(run())
