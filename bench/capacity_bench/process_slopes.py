"""Processor time of real processes by heartbeat and start rate."""

import asyncio
import time

import msgspec

from bench.capacity_bench.slopes import Slope
from bench.process_bench.cluster import Cluster
from bench.process_bench.cluster import started_cluster
from bench.process_bench.cluster import uniform_shape
from bench.process_bench.http_load import closed_loop
from bench.process_bench.http_load import open_loop
from bench.process_bench.http_load import Target
from bench.process_bench.task_starts import offer_starts
from bench.process_bench.task_starts import task_start_cluster
from sardinespool.messages.tasks import Heartbeat

HEARTBEAT_RATES = (50, 100, 200, 400)
REPETITIONS = 3
SECONDS = 3.0
CONNECTIONS = 16
START_RATES = (40, 80, 160, 320)
START_SECONDS = 4


def heartbeats() -> list[Slope]:
    """Measure an entry and a single-store group by heartbeat rate."""
    shape = uniform_shape(domains=1, stores=1, entries=1, workers=0)
    with started_cluster(shape, ("store", "entry")) as cluster:
        cluster.configure()
        return asyncio.run(_measure(cluster))


async def _measure(cluster: Cluster) -> list[Slope]:
    entry = cluster.plan.processes_of("entry")[0]
    store = cluster.plan.processes_of("store")[0]
    headers = (
        ("Authorization", f"Bearer {cluster.plan.tokens['worker-fleet']}"),
        ("Content-Type", "application/json"),
    )
    targets = [
        Target(
            entry.address,
            "/v1/heartbeat",
            headers,
            "POST",
            msgspec.json.encode(
                Heartbeat(
                    worker_id=f"w{number}",
                    incarnation=1,
                    sent_unix_ms=time.time_ns() // 1_000_000,
                    failure_domain="centro",
                    processors_millicores=64_000,
                    memory_mb=250_000,
                )
            ),
        )
        for number in range(CONNECTIONS)
    ]
    await closed_loop(targets, CONNECTIONS, 1.0)
    shares: dict[str, list[tuple[float, ...]]] = {
        entry.name: [],
        store.name: [],
    }
    for rate in HEARTBEAT_RATES:
        processor_us: dict[str, list[float]] = {name: [] for name in shares}
        for _ in range(REPETITIONS):
            before = {
                name: cluster.processes.processor_time_s(name)
                for name in shares
            }
            started_s = time.monotonic()
            load = await open_loop(targets, CONNECTIONS, rate, SECONDS)
            elapsed_s = time.monotonic() - started_s
            if load.failed:
                raise RuntimeError(
                    f"{load.failed} heartbeats weren't answered with 200"
                )
            for name, before_s in before.items():
                now_s = cluster.processes.processor_time_s(name)
                processor_us[name].append(1e6 * (now_s - before_s) / elapsed_s)
        for name, values in processor_us.items():
            shares[name].append(tuple(values))
    quantity = "heartbeats a second"
    return [
        Slope(
            "entry process",
            quantity,
            "us/s",
            HEARTBEAT_RATES,
            tuple(shares[entry.name]),
        ),
        Slope(
            "store process",
            quantity,
            "us/s",
            HEARTBEAT_RATES,
            tuple(shares[store.name]),
        ),
    ]


def task_starts() -> list[Slope]:
    """Measure the leader of a group of 3 stores by task start rate."""
    processor_us = []
    with task_start_cluster() as cluster:
        for rate in START_RATES:
            results = [
                asyncio.run(offer_starts(cluster, rate, 2, START_SECONDS))
                for _ in range(2)
            ]
            processor_us.append(
                tuple(1e6 * result.leader_share for result in results)
            )
    return [
        Slope(
            "leader of three with 200 heartbeats a second",
            "task starts a second",
            "us/s",
            START_RATES,
            tuple(processor_us),
        )
    ]
