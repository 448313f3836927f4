"""Latency of at-most-once requests."""

import asyncio
import os
import pathlib
import statistics
import time
from collections.abc import Awaitable
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from bench.process_bench.cluster import Cluster
from bench.process_bench.cluster import started_cluster
from bench.process_bench.cluster import uniform_shape
from bench.process_bench.figures import Figure
from bench.process_bench.figures import new_histogram
from bench.process_bench.figures import percentile_ms
from bench.process_bench.figures import record_ms
from bench.process_bench.figures import Section
from bench.process_bench.figures import spread
from bench.process_bench.http_load import Connection
from bench.process_bench.http_load import Target
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.tasks import ListWorkers

REPETITIONS = 3
REQUESTS = 300
SYNC_BYTES = 400


def run() -> Section:
    """Measure with a group of 3 stores and one entry."""
    shape = uniform_shape(domains=1, stores=3, entries=1, workers=2)
    with started_cluster(shape) as cluster:
        cluster.configure()
        repetitions = [
            asyncio.run(_measure(cluster, number))
            for number in range(REPETITIONS)
        ]
    figures = []
    for name in repetitions[0]:
        p50 = [
            percentile_ms(histograms[name], 50) for histograms in repetitions
        ]
        p99 = [
            percentile_ms(histograms[name], 99) for histograms in repetitions
        ]
        figures.append(
            Figure(
                name,
                f"p50 {statistics.median(p50):.2f} ms, p99 "
                f"{statistics.median(p99):.2f} ms",
                f"p50 {spread(p50, 'ms')}",
            )
        )

    def median(name: str) -> float:
        return statistics.median(
            percentile_ms(histograms[name], 50) for histograms in repetitions
        )

    additional_ms = median("booking (durable)") - median(
        "seat check (idempotent)"
    )
    allowed_ms = median("commit of one record (RPC)")
    figures.append(
        Figure(
            "additional latency of a durable request, p50",
            f"{additional_ms:.2f} ms = "
            f"{additional_ms / allowed_ms:.1f} commits",
            "",
            f"one commit (sync and round trip, {allowed_ms:.2f} ms)",
            additional_ms <= 1.25 * allowed_ms,
        )
    )
    return Section(
        "Durable requests",
        f"One request at a time, {REQUESTS} of each kind in turn, through one"
        " entry; the group has 3 stores on one host and disk. A commit is the"
        " call, the leader's sync, a round trip to a follower with its sync,"
        " and the reply. The goal allows 25% more than one commit.",
        tuple(figures),
    )


async def _measure(cluster: Cluster, number: int) -> dict[str, HdrHistogram]:
    token = cluster.plan.tokens["caller-1"]
    address = cluster.plan.processes_of("entry")[0].address
    headers = (("Authorization", f"Bearer {token}"),)
    service = "/v1/services/enrolment"
    seat_check = Target(address, f"{service}/seats/pan", headers).encode()
    booking = Target(
        address,
        f"{service}/bookings",
        (*headers, ("Content-Type", "application/json")),
        "POST",
        b'{"course":"pan","applicant":"a"}',
    ).encode()
    connection = Connection(address)
    connector = cluster.connector()
    client = cluster.client("centro", connector)

    async def http(request: bytes) -> None:
        status, body = await connection.exchange(request)
        if status != 200:
            raise RuntimeError(body.decode(errors="replace"))

    async def commit(index: int) -> None:
        key = f"bench-{number}-{index}"
        deadline_unix_ms = time.time_ns() // 1_000_000 + 5_000
        await client.call(
            BeginRequest(
                key=key,
                body_digest="d",
                entry_id="bench",
                attempt_id=key,
                send_deadline_unix_ms=deadline_unix_ms,
            ),
            deadline_unix_ms,
        )

    async def read() -> None:
        deadline_unix_ms = time.time_ns() // 1_000_000 + 5_000
        await client.call(ListWorkers(), deadline_unix_ms)

    kinds: dict[str, Callable[[int], Awaitable[None]]] = {
        "seat check (idempotent)": lambda index: http(seat_check),
        "booking (durable)": lambda index: http(booking),
        "commit of one record (RPC)": commit,
        "read without log (RPC)": lambda index: read(),
    }
    histograms = {name: new_histogram() for name in kinds}
    for index in range(REQUESTS):
        for name, call in kinds.items():
            started_s = time.perf_counter()
            await call(index)
            elapsed_ms = (time.perf_counter() - started_s) * 1000
            record_ms(histograms[name], elapsed_ms)
    connection.close()
    await connector.close()
    histograms["fdatasync of 400 bytes, same disk"] = await asyncio.to_thread(
        _fdatasync_times, cluster.plan.folder / "sync-probe"
    )
    return histograms


def _fdatasync_times(path: pathlib.Path) -> HdrHistogram:
    histogram = new_histogram()
    with path.open("ab", buffering=0) as file:
        for _ in range(REQUESTS):
            started_s = time.perf_counter()
            file.write(b"x" * SYNC_BYTES)
            os.fdatasync(file.fileno())
            record_ms(histogram, (time.perf_counter() - started_s) * 1000)
    return histogram
