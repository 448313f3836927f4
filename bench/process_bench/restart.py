"""Restart time of a store with a long history."""

import asyncio
import pathlib
import time

from bench.process_bench.cluster import Cluster
from bench.process_bench.cluster import started_cluster
from bench.process_bench.cluster import uniform_shape
from bench.process_bench.figures import Figure
from bench.process_bench.figures import figure_with_limit
from bench.process_bench.figures import Section
from sardinespool.messages.configuration import Change
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.configuration import PatchReceipt
from sardinespool.messages.configuration import ReadConfiguration
from sardinespool.messages.configuration import SubmitPatch
from sardinespool.messages.requests import BeginRequest
from sardinespool.transport.group_client import GroupClient

SIZES = (1_000, 10_000)
RESTARTS = 5
CONCURRENCY = 50
GOAL_S = 1.0
TIMEOUT_MS = 10_000


def run() -> Section:
    """Restart two of three stores after each number of changes."""
    shape = uniform_shape(domains=1, stores=3, entries=1, workers=0)
    figures: list[Figure] = []
    with started_cluster(shape, ("store", "entry")) as cluster:
        cluster.configure()
        written = 0
        for size in SIZES:
            elapsed_s = asyncio.run(_write_changes(cluster, written, size))
            figures.append(
                Figure(
                    f"from {written} to {size} versions and records",
                    f"{elapsed_s:.1f} s",
                    "one run",
                )
            )
            written = size
            figures += _measure_restarts(cluster, size)
    return Section(
        "Restart",
        "A domain of 3 stores, of which the first is the global group's only"
        " member. That number of approved versions is written one by one to"
        f" the global group, and as many request records, {CONCURRENCY} at a"
        " time, to the domain group. Then SIGKILL and restart of a store with"
        " its data, until 200 on /ready: the first store (both groups, elects"
        " itself in the global group) and the second (domain group only).",
        tuple(figures),
    )


def _measure_restarts(cluster: Cluster, size: int) -> list[Figure]:
    figures = []
    stores = cluster.plan.processes_of("store")
    for process, groups in ((stores[0], "both groups"), (stores[1], "domain")):
        times_s = []
        for _ in range(RESTARTS):
            cluster.processes.kill(process.name)
            cluster.processes.start(process)
            times_s.append(cluster.wait_ready([process]))
            time.sleep(1.0)
        figures.append(
            figure_with_limit(
                f"restart to ready after {size} changes, {groups}",
                times_s,
                "s",
                GOAL_S,
            )
        )
        assert process.data_folder is not None
        figures.append(
            Figure(
                f"bytes on disk after {size} changes, {groups}",
                f"{_disk_bytes(process.data_folder) / 1e6:.2f} MB",
                "one store",
            )
        )
    return figures


def _disk_bytes(folder: pathlib.Path) -> int:
    return sum(
        path.stat().st_size for path in folder.rglob("*") if path.is_file()
    )


async def _write_changes(cluster: Cluster, first: int, last: int) -> float:
    connector = cluster.connector()
    started_s = time.monotonic()
    await asyncio.gather(
        _write_versions(cluster.client("global", connector), first, last),
        *(
            _write_records(
                cluster.client("centro", connector), first + n, last
            )
            for n in range(CONCURRENCY)
        ),
    )
    await connector.close()
    return time.monotonic() - started_s


async def _write_versions(client: GroupClient, first: int, last: int) -> None:
    reply = await client.call(ReadConfiguration(), _deadline_unix_ms())
    assert isinstance(reply, Configuration)
    version = reply.version
    for number in range(first, last):
        state = ("out-of-service", "in-service")[number % 2]
        receipt = await client.call(
            SubmitPatch(
                patch_id=f"bench-{number}",
                base_version=version,
                changes=(
                    Change(
                        op="set",
                        key="failure_domains/centro",
                        value={"state": state},
                    ),
                ),
                author="operator-1",
            ),
            _deadline_unix_ms(),
        )
        assert isinstance(receipt, PatchReceipt)
        version = receipt.version


async def _write_records(client: GroupClient, first: int, last: int) -> None:
    for number in range(first, last, CONCURRENCY):
        key = f"bench-{number}"
        await client.call(
            BeginRequest(
                key=key,
                body_digest="0123456789abcdef",
                entry_id="entry-centro-1",
                attempt_id=f"attempt-{number}",
                send_deadline_unix_ms=_deadline_unix_ms(),
            ),
            _deadline_unix_ms(),
        )


def _deadline_unix_ms() -> int:
    return time.time_ns() // 1_000_000 + TIMEOUT_MS
